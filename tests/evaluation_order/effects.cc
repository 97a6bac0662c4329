#include "tests/evaluation_order/effects.h"

#include <clang/AST/DeclCXX.h>
#include <clang/AST/DeclTemplate.h>
#include <clang/AST/ExprCXX.h>

namespace evaluation_order {
namespace {

using clang::dyn_cast;
using clang::isa;

enum class Access
{
  kNone,
  kRead,
  kWrite,
};

// A lambda that calls lambdas is followed to this depth.
constexpr int kMaxCallDepth = 4;

bool HasConstOverload(const clang::CXXMethodDecl& aMethod)
{
  for (const auto* other : aMethod.getParent()->lookup(aMethod.getDeclName())) {
    if (const auto* pattern = dyn_cast<clang::FunctionTemplateDecl>(other)) {
      other = pattern->getTemplatedDecl();
    }
    const auto* method = dyn_cast<clang::CXXMethodDecl>(other);
    if (method != nullptr && method->isConst()) {
      return true;
    }
  }
  return false;
}

bool IsFunctionObjectOfUnknownBody(const clang::CXXMethodDecl& aMethod)
{
  return aMethod.getOverloadedOperator() == clang::OO_Call &&
         aMethod.getParent()->isInStdNamespace() &&
         aMethod.getParent()->getName() == "function";
}

Access AccessToObject(const clang::CXXMethodDecl& aMethod)
{
  if (aMethod.isStatic()) {
    return Access::kNone;
  }
  if (IsFunctionObjectOfUnknownBody(aMethod)) {
    return Access::kWrite;
  }
  return aMethod.isConst() || HasConstOverload(aMethod) ? Access::kRead
                                                        : Access::kWrite;
}

// A parameter `T&&` of a function template takes lvalues too, mostly to read
// them.
bool IsForwarding(const clang::FunctionDecl& aFunction, unsigned aParameter)
{
  const clang::FunctionDecl* pattern =
    aFunction.getTemplateInstantiationPattern();
  if (pattern == nullptr) {
    return false;
  }
  const unsigned last = pattern->getNumParams();
  if (last == 0) {
    return false;
  }
  const unsigned index = aParameter < last ? aParameter : last - 1;
  clang::QualType type = pattern->getParamDecl(index)->getType();
  if (const auto* pack = type->getAs<clang::PackExpansionType>()) {
    type = pack->getPattern();
  }
  return type->isRValueReferenceType() &&
         isa<clang::TemplateTypeParmType>(type->getPointeeType());
}

Access AccessToArgument(const clang::FunctionDecl& aFunction,
                        unsigned aParameter,
                        const clang::Expr& aArgument)
{
  if (aParameter >= aFunction.getNumParams()) {
    return Access::kNone;
  }
  const clang::QualType type = aFunction.getParamDecl(aParameter)->getType();
  if (type->isRValueReferenceType()) {
    return aArgument.isXValue() ? Access::kWrite : Access::kRead;
  }
  const bool isShared = type->isLValueReferenceType() || type->isPointerType();
  if (!isShared) {
    return Access::kNone;
  }
  const bool isConst = type->getPointeeType().isConstQualified();
  return isConst || IsForwarding(aFunction, aParameter) ? Access::kRead
                                                        : Access::kWrite;
}

class Collector
{
public:
  Effects Take() { return std::move(mEffects); }

  void Visit(const clang::Stmt* aStatement)
  {
    if (aStatement == nullptr) {
      return;
    }
    if (const auto* lambda = dyn_cast<clang::LambdaExpr>(aStatement)) {
      VisitCaptures(*lambda);
      return;
    }
    if (isa<clang::UnaryExprOrTypeTraitExpr>(aStatement) ||
        isa<clang::CXXNoexceptExpr>(aStatement)) {
      return;
    }
    Note(aStatement);
    for (const clang::Stmt* child : aStatement->children()) {
      Visit(child);
    }
  }

private:
  void VisitCaptures(const clang::LambdaExpr& aLambda)
  {
    for (const clang::Expr* init : aLambda.capture_inits()) {
      Visit(init);
    }
  }

  void Note(const clang::Stmt* aStatement)
  {
    if (const auto* call = dyn_cast<clang::CallExpr>(aStatement)) {
      NoteCall(*call);
    } else if (const auto* built =
                 dyn_cast<clang::CXXConstructExpr>(aStatement)) {
      for (unsigned i = 0; i < built->getNumArgs(); i++) {
        NoteArgument(*built->getConstructor(), i, *built->getArg(i));
      }
    } else if (const auto* unary = dyn_cast<clang::UnaryOperator>(aStatement)) {
      if (unary->isIncrementDecrementOp()) {
        Add(unary->getSubExpr(), Access::kWrite);
      }
    } else if (const auto* binary =
                 dyn_cast<clang::BinaryOperator>(aStatement)) {
      if (binary->isAssignmentOp()) {
        Add(binary->getLHS(), Access::kWrite);
      }
    } else if (const auto* cast =
                 dyn_cast<clang::ImplicitCastExpr>(aStatement)) {
      if (cast->getCastKind() == clang::CK_LValueToRValue) {
        Add(cast->getSubExpr(), Access::kRead);
      }
    }
  }

  void NoteCall(const clang::CallExpr& aCall)
  {
    const clang::FunctionDecl* function = aCall.getDirectCallee();
    if (function == nullptr || PassesItsArgumentOn(*function)) {
      return;
    }
    const auto* method = dyn_cast<clang::CXXMethodDecl>(function);
    const bool isOperatorOfMember =
      method != nullptr && isa<clang::CXXOperatorCallExpr>(aCall);
    if (method != nullptr) {
      const auto* member = dyn_cast<clang::CXXMemberCallExpr>(&aCall);
      const clang::Expr* object = member != nullptr
                                    ? member->getImplicitObjectArgument()
                                  : isOperatorOfMember ? aCall.getArg(0)
                                                       : nullptr;
      NoteObject(*method, object);
    }
    const unsigned first = isOperatorOfMember ? 1 : 0;
    for (unsigned i = first; i < aCall.getNumArgs(); i++) {
      NoteArgument(*function, i - first, *aCall.getArg(i));
    }
  }

  void NoteObject(const clang::CXXMethodDecl& aMethod,
                  const clang::Expr* aObject)
  {
    if (aMethod.getParent()->isLambda()) {
      if (mDepth < kMaxCallDepth) {
        mDepth++;
        Visit(aMethod.getBody());
        mDepth--;
      }
    } else if (aObject != nullptr) {
      Add(aObject, AccessToObject(aMethod));
    }
  }

  void NoteArgument(const clang::FunctionDecl& aFunction,
                    unsigned aParameter,
                    const clang::Expr& aArgument)
  {
    Add(&aArgument, AccessToArgument(aFunction, aParameter, aArgument));
  }

  void Add(const clang::Expr* aExpression, Access aAccess)
  {
    if (aAccess == Access::kNone) {
      return;
    }
    const auto path = PathOf(aExpression);
    if (path) {
      (aAccess == Access::kRead ? mEffects.mReads : mEffects.mWrites)
        .push_back(*path);
    }
  }

  Effects mEffects;
  int mDepth = 0;
};

std::optional<AccessPath> FirstOverlap(const std::vector<AccessPath>& aLeft,
                                       const std::vector<AccessPath>& aRight)
{
  for (const AccessPath& left : aLeft) {
    for (const AccessPath& right : aRight) {
      if (Overlap(left, right)) {
        return left;
      }
    }
  }
  return std::nullopt;
}

} // namespace

Effects EffectsOf(const clang::Stmt* aStatement)
{
  Collector collector;
  collector.Visit(aStatement);
  return collector.Take();
}

std::optional<AccessPath> Conflict(const Effects& aLeft, const Effects& aRight)
{
  if (auto path = FirstOverlap(aLeft.mWrites, aRight.mWrites)) {
    return path;
  }
  if (auto path = FirstOverlap(aLeft.mWrites, aRight.mReads)) {
    return path;
  }
  return FirstOverlap(aRight.mWrites, aLeft.mReads);
}

} // namespace evaluation_order
