#include "mulberryvalve/core/jobs/start_window.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// The window shrinks to between a quarter and half of its size.
constexpr size_t kMaxShrinkDivisor = 4;
constexpr size_t kMinShrinkDivisor = 2;
// The window grows by a quarter of its size.
constexpr size_t kGrowthDivisor = 4;
constexpr size_t kReopenDivisor = 4;

} // namespace

void StartWindow::OnOrdered()
{
  mInFlight++;
  UpdateFullState();
}

void StartWindow::OnStartDeferred()
{
  mHasDeferredStart = true;
  mDeferrals++;
}

void StartWindow::WriteOff(size_t aStarts)
{
  mInFlight -= std::min(aStarts, mInFlight);
  UpdateFullState();
}

void StartWindow::OnAnswered(MonotonicTime aDecidedAt, MonotonicTime aNow)
{
  mInFlight -= mInFlight > 0 ? 1 : 0;
  if (aDecidedAt >= mRoundBegan) {
    RecordDelay(aNow - aDecidedAt, aNow);
  }
  UpdateFullState();
}

void StartWindow::UpdateFullState()
{
  if (mInFlight >= mSize) {
    mIsFull = true;
  } else if (mInFlight <= mSize - mSize / kReopenDivisor) {
    mIsFull = false;
  }
}

void StartWindow::RecordDelay(Microseconds aDelay, MonotonicTime aNow)
{
  mAnswers++;
  mLateAnswers += aDelay > kLateThreshold ? 1 : 0;
  mTotalDelay += aDelay;
  const size_t round = std::min(mSize, kMaxAnswersPerRound);
  if (mAnswers >= round || mLateAnswers * 2 > round) {
    EndRound(aNow);
  }
}

void StartWindow::EndRound(MonotonicTime aNow)
{
  const bool mostlyLate = mLateAnswers * 2 > mAnswers;
  if (mostlyLate) {
    Shrink();
  } else if (mHasDeferredStart) {
    mSize = std::min(mSize + mSize / kGrowthDivisor, kMaxSize);
  }
  mRoundBegan = aNow;
  mAnswers = 0;
  mLateAnswers = 0;
  mTotalDelay = Microseconds(0);
  mHasDeferredStart = false;
}

// If the mean delay of answers for a window of mSize starts is too long, only
// the part of mSize that fits into kLateThreshold is answered in time.
void StartWindow::Shrink()
{
  const Microseconds mean = mTotalDelay / mAnswers;
  const auto answeredInTime = static_cast<size_t>(
    static_cast<int64_t>(mSize) * Microseconds(kLateThreshold).count() /
    std::max<int64_t>(mean.count(), 1));
  mSize = std::clamp(
    answeredInTime, mSize / kMaxShrinkDivisor, mSize / kMinShrinkDivisor);
  mSize = std::max(mSize, kMinSize);
}

StartWindowStats StartWindow::TakeStats()
{
  return StartWindowStats{ mSize, mInFlight, std::exchange(mDeferrals, 0) };
}

} // namespace mulberryvalve
