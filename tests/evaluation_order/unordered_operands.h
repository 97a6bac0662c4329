// The operands that C++17 lets a compiler evaluate in any order.
#ifndef MULBERRYVALVE_TESTS_EVALUATION_ORDER_UNORDERED_OPERANDS_H_
#define MULBERRYVALVE_TESTS_EVALUATION_ORDER_UNORDERED_OPERANDS_H_

#include <clang/AST/Expr.h>
#include <vector>

namespace evaluation_order {

// Returns the operands of aExpression whose order is left to the compiler: the
// arguments of a call or of a constructor in parentheses, and both operands of
// an arithmetic or comparing operator. Returns nothing where the language gives
// an order (braces, shifts, assignments, subscripts, logical operators).
std::vector<const clang::Expr*> UnorderedOperands(
  const clang::Expr* aExpression);

} // namespace evaluation_order

#endif // MULBERRYVALVE_TESTS_EVALUATION_ORDER_UNORDERED_OPERANDS_H_
