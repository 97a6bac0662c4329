// Effects: what the evaluation of an expression reads and changes.
#ifndef MULBERRYVALVE_TESTS_EVALUATION_ORDER_EFFECTS_H_
#define MULBERRYVALVE_TESTS_EVALUATION_ORDER_EFFECTS_H_

#include "tests/evaluation_order/access_path.h"

#include <clang/AST/Stmt.h>
#include <optional>
#include <vector>

namespace evaluation_order {

struct Effects
{
  std::vector<AccessPath> mReads;
  std::vector<AccessPath> mWrites;
};

// Returns the effects of evaluating aStatement, as its declarations tell them:
// - a call on an object changes it, unless the method is const or has a const
//   overload; a const call reads it;
// - an argument that is bound to a reference or pointer to non-const, or moved
//   from, is changed, and one that is bound to a const reference is read;
// - a call of a lambda has the effects of its body; one of a std::function
//   changes the function object.
// A reference that is only bound, and not passed to a call, is not read.
// Effects of a callee on objects that it isn't passed are not seen.
// Precondition: aStatement depends on no template parameter.
Effects EffectsOf(const clang::Stmt* aStatement);

// Returns an object that one of the two changes and the other reads or changes,
// or nothing.
std::optional<AccessPath> Conflict(const Effects& aLeft, const Effects& aRight);

} // namespace evaluation_order

#endif // MULBERRYVALVE_TESTS_EVALUATION_ORDER_EFFECTS_H_
