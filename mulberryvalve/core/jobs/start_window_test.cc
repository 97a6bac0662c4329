#include "mulberryvalve/core/jobs/start_window.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kSoon{ 20 };
constexpr Milliseconds kLate = StartWindow::kLateAfter * 2;

// Link orders as many starts as the window lets it and answers them, each
// after the same time.
class Link
{
public:
  void Play(Milliseconds aAnswerTakes)
  {
    const MonotonicTime decided = mNow;
    size_t ordered = 0;
    while (!mWindow.IsFull()) {
      mWindow.OnOrdered();
      ordered++;
    }
    mWindow.OnHeldBack();
    mNow += aAnswerTakes;
    for (size_t number = 0; number < ordered; number++) {
      mWindow.OnAnswered(decided, mNow);
    }
  }

  void PlayTimes(size_t aTimes, Milliseconds aAnswerTakes)
  {
    for (size_t time = 0; time < aTimes; time++) {
      Play(aAnswerTakes);
    }
  }

  size_t Size() { return mWindow.TakeFigures().mSize; }

  StartWindow mWindow;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
};

} // namespace

TEST_GROUP(StartWindowTest){};

// Guards against starts that pile up at an owner that can't send them.
TEST(StartWindowTest, LateAnswersMakeItSmallerDownToAFloor)
{
  Link link;
  link.Play(kLate);
  UNSIGNED_LONGS_EQUAL(StartWindow::kFirstSize / 2, link.Size());
  link.PlayTimes(20, kLate);
  UNSIGNED_LONGS_EQUAL(StartWindow::kLeastSize, link.Size());
}

// Guards against an owner that stays throttled after it was slow.
TEST(StartWindowTest, AnswersInTimeMakeItLargerUpToACeiling)
{
  Link link;
  link.PlayTimes(20, kLate);
  link.PlayTimes(100, kSoon);
  UNSIGNED_LONGS_EQUAL(StartWindow::kMostSize, link.Size());
}

// Guards against one slow moment that closes the window step by step: what was
// decided before it shrank says nothing of its present size.
TEST(StartWindowTest, ItShrinksOnceForWhatWasDecidedTogether)
{
  Link link;
  link.PlayTimes(10, kSoon);
  const size_t before = link.Size();
  CHECK(before > 2 * StartWindow::kMostPerRound);
  link.Play(kLate);
  UNSIGNED_LONGS_EQUAL(before / 2, link.Size());
}

// Guards against a window that is far beyond what the owner was seen to carry
// when it turns slow.
TEST(StartWindowTest, ItDoesNotGrowWhileItHoldsNothingBack)
{
  Link link;
  for (size_t number = 0; number < 10000; number++) {
    link.mWindow.OnOrdered();
    link.mWindow.OnAnswered(link.mNow, link.mNow + kSoon);
  }
  UNSIGNED_LONGS_EQUAL(StartWindow::kFirstSize, link.Size());
}

// Guards against some workers that answer late, or not at all, and throttle the
// starts on all others.
TEST(StartWindowTest, FewLateAnswersDoNotMakeItSmaller)
{
  Link link;
  for (size_t number = 0; number < 10000; number++) {
    const bool late = number % 5 < 2;
    link.mWindow.OnOrdered();
    link.mWindow.OnAnswered(link.mNow, link.mNow + (late ? kLate : kSoon));
  }
  UNSIGNED_LONGS_EQUAL(StartWindow::kFirstSize, link.Size());
}

// Guards against starts that must come together and never can.
TEST(StartWindowTest, MoreAtOnceMayGoBeyondTheSize)
{
  Link link;
  for (size_t number = 0; number < StartWindow::kFirstSize + 100; number++) {
    link.mWindow.OnOrdered();
  }
  CHECK(link.mWindow.IsFull());
  const size_t untilFree = 100 + StartWindow::kFirstSize / 4;
  for (size_t number = 1; number < untilFree; number++) {
    link.mWindow.OnAnswered(link.mNow, link.mNow);
  }
  CHECK(link.mWindow.IsFull());
  link.mWindow.OnAnswered(link.mNow, link.mNow);
  CHECK_FALSE(link.mWindow.IsFull());
}

// Guards against an owner that spends itself on one pass for each answer.
TEST(StartWindowTest, OnceFullItStaysSoUntilAQuarterIsFree)
{
  Link link;
  while (!link.mWindow.IsFull()) {
    link.mWindow.OnOrdered();
  }
  UNSIGNED_LONGS_EQUAL(StartWindow::kFirstSize,
                       link.mWindow.TakeFigures().mUnderWay);
  for (size_t number = 1; number < StartWindow::kFirstSize / 4; number++) {
    link.mWindow.OnAnswered(link.mNow, link.mNow);
  }
  CHECK(link.mWindow.IsFull());
  link.mWindow.OnAnswered(link.mNow, link.mNow);
  CHECK_FALSE(link.mWindow.IsFull());
  link.mWindow.OnOrdered();
  CHECK_FALSE(link.mWindow.IsFull());
}

TEST(StartWindowTest, FiguresSayHowOftenItWasFull)
{
  Link link;
  link.mWindow.OnOrdered();
  link.mWindow.OnHeldBack();
  link.mWindow.OnHeldBack();
  const StartWindowFigures figures = link.mWindow.TakeFigures();
  UNSIGNED_LONGS_EQUAL(1, figures.mUnderWay);
  UNSIGNED_LONGS_EQUAL(2, figures.mTimesFull);
  UNSIGNED_LONGS_EQUAL(0, link.mWindow.TakeFigures().mTimesFull);
}

} // namespace mulberryvalve
