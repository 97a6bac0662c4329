#include "mulberryvalve/core/jobs/start_window.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// It shrinks to between the fourth part and the half.
constexpr size_t kLeastPart = 4;
constexpr size_t kMostPart = 2;
// It grows by the fourth part.
constexpr size_t kGrowthPart = 4;
constexpr size_t kFreePart = 4;

} // namespace

void StartWindow::OnOrdered()
{
  mUnderWay++;
  FollowFilling();
}

void StartWindow::OnHeldBack()
{
  mHeldBack = true;
  mTimesFull++;
}

void StartWindow::GiveUp(size_t aStarts)
{
  mUnderWay -= std::min(aStarts, mUnderWay);
  FollowFilling();
}

void StartWindow::OnAnswered(MonotonicTime aDecidedAt, MonotonicTime aNow)
{
  mUnderWay -= mUnderWay > 0 ? 1 : 0;
  if (aDecidedAt >= mRoundBegan) {
    Judge(aNow - aDecidedAt, aNow);
  }
  FollowFilling();
}

void StartWindow::FollowFilling()
{
  if (mUnderWay >= mSize) {
    mIsFull = true;
  } else if (mUnderWay <= mSize - mSize / kFreePart) {
    mIsFull = false;
  }
}

void StartWindow::Judge(Microseconds aWait, MonotonicTime aNow)
{
  mAnswers++;
  mLateAnswers += aWait > kLateAfter ? 1 : 0;
  mWaits += aWait;
  const size_t round = std::min(mSize, kMostPerRound);
  if (mAnswers >= round || mLateAnswers * 2 > round) {
    EndRound(aNow);
  }
}

void StartWindow::EndRound(MonotonicTime aNow)
{
  const bool late = mLateAnswers * 2 > mAnswers;
  if (late) {
    Shrink();
  } else if (mHeldBack) {
    mSize = std::min(mSize + mSize / kGrowthPart, kMostSize);
  }
  mRoundBegan = aNow;
  mAnswers = 0;
  mLateAnswers = 0;
  mWaits = Microseconds(0);
  mHeldBack = false;
}

// An owner that needs the mean to answer mSize starts answers a share of them
// in time.
void StartWindow::Shrink()
{
  const Microseconds mean = mWaits / mAnswers;
  const auto inTime = static_cast<size_t>(static_cast<int64_t>(mSize) *
                                          Microseconds(kLateAfter).count() /
                                          std::max<int64_t>(mean.count(), 1));
  mSize = std::clamp(inTime, mSize / kLeastPart, mSize / kMostPart);
  mSize = std::max(mSize, kLeastSize);
}

StartWindowFigures StartWindow::TakeFigures()
{
  return StartWindowFigures{ mSize, mUnderWay, std::exchange(mTimesFull, 0) };
}

} // namespace mulberryvalve
