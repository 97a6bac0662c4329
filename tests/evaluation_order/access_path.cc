#include "tests/evaluation_order/access_path.h"

#include <algorithm>
#include <clang/AST/DeclCXX.h>
#include <clang/AST/ExprCXX.h>
#include <llvm/ADT/StringSwitch.h>

namespace evaluation_order {
namespace {

using clang::dyn_cast;
using clang::isa;

std::optional<AccessPath> PathOfVariable(const clang::ValueDecl* aDeclaration)
{
  if (const auto* binding = dyn_cast<clang::BindingDecl>(aDeclaration)) {
    return AccessPath{ binding->getDecomposedDecl(), binding };
  }
  const auto* variable = dyn_cast<clang::VarDecl>(aDeclaration);
  if (variable == nullptr) {
    return std::nullopt;
  }
  const bool isBoundHere = variable->getType()->isReferenceType() &&
                           !isa<clang::ParmVarDecl>(variable) &&
                           variable->getInit() != nullptr;
  if (isBoundHere) {
    if (auto path = PathOf(variable->getInit())) {
      return path;
    }
  }
  return AccessPath{ variable->getCanonicalDecl() };
}

std::optional<AccessPath> PathOfMember(const clang::MemberExpr* aMember)
{
  const auto* field = dyn_cast<clang::FieldDecl>(aMember->getMemberDecl());
  if (field == nullptr) {
    return PathOfVariable(aMember->getMemberDecl());
  }
  auto path = PathOf(aMember->getBase());
  if (path) {
    path->push_back(field->getCanonicalDecl());
  }
  return path;
}

bool YieldsPartOfItsObject(const clang::QualType& aType)
{
  return aType->isReferenceType() || aType->isPointerType();
}

// A call that returns a reference or a pointer is taken to return a part of the
// object it is called on.
std::optional<AccessPath> PathOfCall(const clang::CallExpr* aCall)
{
  const clang::FunctionDecl* function = aCall->getDirectCallee();
  if (function == nullptr) {
    return std::nullopt;
  }
  if (PassesItsArgumentOn(*function) && aCall->getNumArgs() > 0) {
    return PathOf(aCall->getArg(0));
  }
  if (!YieldsPartOfItsObject(function->getReturnType())) {
    return std::nullopt;
  }
  if (const auto* member = dyn_cast<clang::CXXMemberCallExpr>(aCall)) {
    return PathOf(member->getImplicitObjectArgument());
  }
  if (isa<clang::CXXOperatorCallExpr>(aCall) && aCall->getNumArgs() > 0) {
    return PathOf(aCall->getArg(0));
  }
  return std::nullopt;
}

} // namespace

std::optional<AccessPath> PathOf(const clang::Expr* aExpression)
{
  const clang::Expr* expression = aExpression->IgnoreParenCasts();
  if (const auto* wrapped = dyn_cast<clang::FullExpr>(expression)) {
    return PathOf(wrapped->getSubExpr());
  }
  if (const auto* wrapped =
        dyn_cast<clang::MaterializeTemporaryExpr>(expression)) {
    return PathOf(wrapped->getSubExpr());
  }
  if (const auto* wrapped = dyn_cast<clang::CXXBindTemporaryExpr>(expression)) {
    return PathOf(wrapped->getSubExpr());
  }
  if (isa<clang::CXXThisExpr>(expression)) {
    return AccessPath{ nullptr };
  }
  if (const auto* reference = dyn_cast<clang::DeclRefExpr>(expression)) {
    return PathOfVariable(reference->getDecl());
  }
  if (const auto* member = dyn_cast<clang::MemberExpr>(expression)) {
    return PathOfMember(member);
  }
  if (const auto* element = dyn_cast<clang::ArraySubscriptExpr>(expression)) {
    return PathOf(element->getBase());
  }
  if (const auto* unary = dyn_cast<clang::UnaryOperator>(expression)) {
    return PathOf(unary->getSubExpr());
  }
  if (const auto* call = dyn_cast<clang::CallExpr>(expression)) {
    return PathOfCall(call);
  }
  return std::nullopt;
}

bool Overlap(const AccessPath& aLeft, const AccessPath& aRight)
{
  const size_t length = std::min(aLeft.size(), aRight.size());
  return std::equal(aLeft.begin(),
                    aLeft.begin() + static_cast<std::ptrdiff_t>(length),
                    aRight.begin());
}

std::string Describe(const AccessPath& aPath)
{
  std::string text;
  for (const clang::ValueDecl* part : aPath) {
    text += text.empty() ? "" : ".";
    text += part == nullptr ? "this" : part->getNameAsString();
  }
  return text;
}

bool PassesItsArgumentOn(const clang::FunctionDecl& aFunction)
{
  return aFunction.isInStdNamespace() && aFunction.getIdentifier() != nullptr &&
         llvm::StringSwitch<bool>(aFunction.getName())
           .Cases("move", "forward", "as_const", "addressof", true)
           .Cases("ref", "cref", "get", "get_if", true)
           .Default(false);
}

} // namespace evaluation_order
