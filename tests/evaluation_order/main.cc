// evaluation-order -p BUILD FILE...: lists the expressions in which one operand
// changes an object that another one uses, while the language leaves the order
// of the two open. Prints a line each and exits with 1 if there is any.
#include "tests/evaluation_order/effects.h"
#include "tests/evaluation_order/unordered_operands.h"

#include <clang/AST/ASTConsumer.h>
#include <clang/AST/RecursiveASTVisitor.h>
#include <clang/Frontend/CompilerInstance.h>
#include <clang/Frontend/FrontendAction.h>
#include <clang/Tooling/CommonOptionsParser.h>
#include <clang/Tooling/Tooling.h>
#include <llvm/Support/CommandLine.h>
#include <llvm/Support/raw_ostream.h>
#include <memory>
#include <set>
#include <string>

namespace evaluation_order {
namespace {

// The findings of all files, each place once. Not thread-safe.
using Findings = std::set<std::string>;

class Visitor : public clang::RecursiveASTVisitor<Visitor>
{
public:
  Visitor(clang::ASTContext& aContext, Findings& aFindings)
    : mContext(aContext)
    , mFindings(aFindings)
  {
  }

  bool shouldVisitTemplateInstantiations() const { return true; }
  bool shouldVisitImplicitCode() const { return true; }

  bool VisitExpr(clang::Expr* aExpression)
  {
    if (aExpression->isInstantiationDependent() ||
        mContext.getSourceManager().isInSystemHeader(
          aExpression->getBeginLoc())) {
      return true;
    }
    const auto operands = UnorderedOperands(aExpression);
    if (operands.size() < 2) {
      return true;
    }
    ReportConflict(*aExpression, operands);
    return true;
  }

private:
  void ReportConflict(const clang::Expr& aExpression,
                      const std::vector<const clang::Expr*>& aOperands)
  {
    std::vector<Effects> effects;
    effects.reserve(aOperands.size());
    for (const clang::Expr* operand : aOperands) {
      effects.push_back(EffectsOf(operand));
    }
    for (size_t left = 0; left < effects.size(); left++) {
      for (size_t right = left + 1; right < effects.size(); right++) {
        const auto path = Conflict(effects[left], effects[right]);
        if (path && !IsOneTextTwice(*aOperands[left], *aOperands[right])) {
          Report(aExpression, *path);
          return;
        }
      }
    }
  }

  // A macro that names its argument twice, like CHECK_EQUAL, which compares the
  // argument with itself, changes the object twice in any order.
  bool IsOneTextTwice(const clang::Expr& aLeft, const clang::Expr& aRight) const
  {
    const auto& sources = mContext.getSourceManager();
    const auto left = aLeft.IgnoreParenImpCasts()->getBeginLoc();
    const auto right = aRight.IgnoreParenImpCasts()->getBeginLoc();
    return left.isMacroID() && right.isMacroID() &&
           sources.getSpellingLoc(left) == sources.getSpellingLoc(right);
  }

  void Report(const clang::Expr& aExpression, const AccessPath& aPath)
  {
    const auto& sources = mContext.getSourceManager();
    const clang::PresumedLoc place =
      sources.getPresumedLoc(sources.getExpansionLoc(aExpression.getExprLoc()));
    mFindings.insert(std::string(place.getFilename()) + ":" +
                     std::to_string(place.getLine()) +
                     ": one operand changes " + Describe(aPath) +
                     " and another uses it, in an order that is left open");
  }

  clang::ASTContext& mContext;
  Findings& mFindings;
};

class Consumer : public clang::ASTConsumer
{
public:
  explicit Consumer(Findings& aFindings)
    : mFindings(aFindings)
  {
  }

  void HandleTranslationUnit(clang::ASTContext& aContext) override
  {
    Visitor visitor(aContext, mFindings);
    visitor.TraverseDecl(aContext.getTranslationUnitDecl());
  }

private:
  Findings& mFindings;
};

class Action : public clang::ASTFrontendAction
{
public:
  explicit Action(Findings& aFindings)
    : mFindings(aFindings)
  {
  }

  std::unique_ptr<clang::ASTConsumer> CreateASTConsumer(
    clang::CompilerInstance& /*aCompiler*/,
    llvm::StringRef /*aFile*/) override
  {
    return std::make_unique<Consumer>(mFindings);
  }

private:
  Findings& mFindings;
};

class ActionFactory : public clang::tooling::FrontendActionFactory
{
public:
  explicit ActionFactory(Findings& aFindings)
    : mFindings(aFindings)
  {
  }

  std::unique_ptr<clang::FrontendAction> create() override
  {
    return std::make_unique<Action>(mFindings);
  }

private:
  Findings& mFindings;
};

} // namespace
} // namespace evaluation_order

int main(int aArgc, const char** aArgv)
{
  using clang::tooling::CommonOptionsParser;
  llvm::cl::OptionCategory category("evaluation-order");
  auto options = CommonOptionsParser::create(aArgc, aArgv, category);
  if (!options) {
    llvm::errs() << llvm::toString(options.takeError()) << "\n";
    return 2;
  }
  clang::tooling::ClangTool tool(options->getCompilations(),
                                 options->getSourcePathList());
  evaluation_order::Findings findings;
  evaluation_order::ActionFactory factory(findings);
  if (tool.run(&factory) != 0) {
    return 2;
  }
  for (const std::string& finding : findings) {
    llvm::outs() << finding << "\n";
  }
  return findings.empty() ? 0 : 1;
}
