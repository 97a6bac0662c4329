// AccessPath: the object that an expression names, as a chain of declarations.
#ifndef MULBERRYVALVE_TESTS_EVALUATION_ORDER_ACCESS_PATH_H_
#define MULBERRYVALVE_TESTS_EVALUATION_ORDER_ACCESS_PATH_H_

#include <clang/AST/Expr.h>
#include <optional>
#include <string>
#include <vector>

namespace evaluation_order {

// AccessPath starts with a variable, or with nullptr for *this, and goes on
// with fields. What a pointer, an iterator's container or a smart pointer holds
// counts as part of it, and so do the elements of a container.
using AccessPath = std::vector<const clang::ValueDecl*>;

// Returns the path of the object that aExpression names, or nothing if that is
// a temporary object or can't be told. Local references are followed to what
// they were bound to. Precondition: aExpression depends on no template
// parameter.
std::optional<AccessPath> PathOf(const clang::Expr* aExpression);

// Returns whether one of the two objects is the other or a part of it.
bool Overlap(const AccessPath& aLeft, const AccessPath& aRight);

// Returns the path for a person to read, like "this.mRenewals".
std::string Describe(const AccessPath& aPath);

// Returns whether the function only passes its first argument on, like
// std::move.
bool PassesItsArgumentOn(const clang::FunctionDecl& aFunction);

} // namespace evaluation_order

#endif // MULBERRYVALVE_TESTS_EVALUATION_ORDER_ACCESS_PATH_H_
