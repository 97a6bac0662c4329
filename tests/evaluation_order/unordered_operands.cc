#include "tests/evaluation_order/unordered_operands.h"

#include <clang/AST/ExprCXX.h>

namespace evaluation_order {
namespace {

using clang::dyn_cast;
using Operands = std::vector<const clang::Expr*>;

bool IsOrdered(clang::BinaryOperatorKind aOperator)
{
  return clang::BinaryOperator::isAssignmentOp(aOperator) ||
         clang::BinaryOperator::isLogicalOp(aOperator) ||
         clang::BinaryOperator::isShiftOp(aOperator) ||
         clang::BinaryOperator::isPtrMemOp(aOperator) ||
         clang::BinaryOperator::isCommaOp(aOperator);
}

Operands OfOperatorCall(const clang::CXXOperatorCallExpr& aCall)
{
  const clang::OverloadedOperatorKind kind = aCall.getOperator();
  Operands operands(aCall.arg_begin(), aCall.arg_end());
  if (kind == clang::OO_Call) {
    operands.erase(operands.begin());
    return operands;
  }
  if (!aCall.isInfixBinaryOp() || kind == clang::OO_ArrowStar ||
      IsOrdered(clang::BinaryOperator::getOverloadedOpcode(kind))) {
    return {};
  }
  return operands;
}

} // namespace

std::vector<const clang::Expr*> UnorderedOperands(
  const clang::Expr* aExpression)
{
  if (const auto* binary = dyn_cast<clang::BinaryOperator>(aExpression)) {
    return IsOrdered(binary->getOpcode())
             ? Operands{}
             : Operands{ binary->getLHS(), binary->getRHS() };
  }
  if (const auto* call = dyn_cast<clang::CXXOperatorCallExpr>(aExpression)) {
    return OfOperatorCall(*call);
  }
  if (const auto* call = dyn_cast<clang::CallExpr>(aExpression)) {
    return Operands(call->arg_begin(), call->arg_end());
  }
  if (const auto* built = dyn_cast<clang::CXXConstructExpr>(aExpression)) {
    return built->isListInitialization()
             ? Operands{}
             : Operands(built->arg_begin(), built->arg_end());
  }
  return {};
}

} // namespace evaluation_order
