// StartWindow: how many starts an owner has under way at a time.
#ifndef MULBERRYVALVE_CORE_JOBS_START_WINDOW_H_
#define MULBERRYVALVE_CORE_JOBS_START_WINDOW_H_

#include "mulberryvalve/core/base/time.h"

#include <cstddef>

namespace mulberryvalve {

// StartWindowFigures tell how far a window holds its owner back.
struct StartWindowFigures
{
  size_t mSize = 0;
  size_t mUnderWay = 0;
  // How often, since the figures were last taken, it held starts back.
  size_t mTimesFull = 0;
};

// StartWindow bounds the starts that were ordered and not yet answered, so that
// what an owner can't send yet is not decided yet. It shrinks while most
// answers come late after their decision, and grows while most come in time and
// it holds starts back. Not synchronised.
class StartWindow
{
public:
  static constexpr size_t kInitialSize = 256;
  static constexpr size_t kMinSize = 32;
  static constexpr size_t kMaxSize = 4096;
  // An answer later than this after the decision is a late one.
  static constexpr Milliseconds kLateThreshold{ 400 };
  // So many answers are judged together, fewer in a smaller window.
  static constexpr size_t kMaxAnswersPerRound = 128;

  // IsFull tells whether no more starts may be ordered now. Who has to order
  // several at once may go beyond the size as long as this is false. Once full
  // it stays so until a quarter is free, so that what follows is chosen in few
  // passes.
  bool IsFull() const { return mIsFull; }

  // OnOrdered counts a start, until OnAnswered.
  void OnOrdered();

  // GiveUp counts so many starts no more: their answers are not expected soon
  // and say nothing of what the owner can send.
  void GiveUp(size_t aStarts);

  // OnHeldBack says that a start waits since the window is full.
  void OnHeldBack();

  // OnAnswered counts a start no more that was decided at aDecidedAt: it was
  // answered, or it is known that it will not be. Each start counts once.
  void OnAnswered(MonotonicTime aDecidedAt, MonotonicTime aNow);

  // TakeFigures returns the present figures.
  StartWindowFigures TakeFigures();

private:
  void RecordDelay(Microseconds aDelay, MonotonicTime aNow);
  void EndRound(MonotonicTime aNow);
  void Shrink();
  void UpdateFullState();

  size_t mSize = kInitialSize;
  size_t mUnderWay = 0;
  bool mIsFull = false;
  size_t mTimesFull = 0;
  // The present round judges starts that were decided after it began.
  MonotonicTime mRoundBegan;
  size_t mAnswers = 0;
  size_t mLateAnswers = 0;
  Microseconds mTotalDelay{ 0 };
  bool mHasDeferredStart = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_START_WINDOW_H_
