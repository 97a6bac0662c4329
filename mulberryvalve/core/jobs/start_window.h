// Limits how many starts of tasks an owner has in flight.
#ifndef MULBERRYVALVE_CORE_JOBS_START_WINDOW_H_
#define MULBERRYVALVE_CORE_JOBS_START_WINDOW_H_

#include "mulberryvalve/core/base/time.h"

#include <cstddef>

namespace mulberryvalve {

// StartWindowStats are statistics that show how far a window throttles its
// owner.
struct StartWindowStats
{
  size_t mSize = 0;
  size_t mInFlight = 0;
  // How many times a start was deferred since the statistics were last taken.
  size_t mDeferrals = 0;
};

// StartWindow limits the starts that were ordered and not yet answered, so that
// an owner makes no decisions that it cannot send yet. The window shrinks while
// most answers arrive late after their decision. It grows while most arrive in
// time and starts are deferred. Not synchronised.
class StartWindow
{
public:
  static constexpr size_t kInitialSize = 256;
  static constexpr size_t kMinSize = 32;
  static constexpr size_t kMaxSize = 4096;
  // An answer that arrives later than this after the decision is late.
  static constexpr Milliseconds kLateThreshold{ 400 };
  // Number of answers that are evaluated together; fewer in a smaller window.
  static constexpr size_t kMaxAnswersPerRound = 128;

  // IsFull returns whether no more starts may be ordered now. Starts that must
  // be ordered together may exceed the size if this was false before the first.
  // A full window stays full until a quarter of it is free, so that the next
  // tasks are chosen in few placement passes.
  bool IsFull() const { return mIsFull; }

  // OnOrdered counts a start as in flight until OnAnswered.
  void OnOrdered();

  // WriteOff stops counting aStarts starts as in flight: no answer is expected
  // soon, and its delay would say nothing about how much the owner can send.
  void WriteOff(size_t aStarts);

  // OnStartDeferred records that a start is deferred because the window is
  // full.
  void OnStartDeferred();

  // OnAnswered stops counting a start that was decided at aDecidedAt: it was
  // answered, or no answer will come. Call it once for each start.
  void OnAnswered(MonotonicTime aDecidedAt, MonotonicTime aNow);

  // TakeStats returns the statistics and resets mDeferrals.
  StartWindowStats TakeStats();

private:
  void RecordDelay(Microseconds aDelay, MonotonicTime aNow);
  void EndRound(MonotonicTime aNow);
  void Shrink();
  void UpdateFullState();

  size_t mSize = kInitialSize;
  size_t mInFlight = 0;
  bool mIsFull = false;
  size_t mDeferrals = 0;
  // The current round evaluates starts that were decided after it began.
  MonotonicTime mRoundBegan;
  size_t mAnswers = 0;
  size_t mLateAnswers = 0;
  Microseconds mTotalDelay{ 0 };
  bool mHasDeferredStart = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_START_WINDOW_H_
