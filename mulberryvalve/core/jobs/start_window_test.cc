#include "mulberryvalve/core/jobs/start_window.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kSoon{ 20 };
constexpr Milliseconds kLate = StartWindow::kLateThreshold * 2;

// SimulatedOwner orders as many starts as the window allows and then answers
// all of them after the same time.
class SimulatedOwner
{
public:
  void AnswerOneRound(Milliseconds aAnswerTakes)
  {
    const MonotonicTime decided = mNow;
    size_t ordered = 0;
    while (!mWindow.IsFull()) {
      mWindow.OnOrdered();
      ordered++;
    }
    mWindow.OnStartDeferred();
    mNow += aAnswerTakes;
    for (size_t number = 0; number < ordered; number++) {
      mWindow.OnAnswered(decided, mNow);
    }
  }

  void AnswerRounds(size_t aTimes, Milliseconds aAnswerTakes)
  {
    for (size_t time = 0; time < aTimes; time++) {
      AnswerOneRound(aAnswerTakes);
    }
  }

  size_t Size() { return mWindow.TakeStats().mSize; }

  StartWindow mWindow;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
};

} // namespace

TEST_GROUP(StartWindowTest){};

// Guards against starts that queue up at an owner that cannot send them.
TEST(StartWindowTest, ShrinksToMinimumOnLateAnswers)
{
  SimulatedOwner owner;
  owner.AnswerOneRound(kLate);
  UNSIGNED_LONGS_EQUAL(StartWindow::kInitialSize / 2, owner.Size());
  owner.AnswerRounds(20, kLate);
  UNSIGNED_LONGS_EQUAL(StartWindow::kMinSize, owner.Size());
}

// Guards against an owner that stays throttled after it was slow for a while.
TEST(StartWindowTest, GrowsToMaximumOnTimelyAnswers)
{
  SimulatedOwner owner;
  owner.AnswerRounds(20, kLate);
  owner.AnswerRounds(100, kSoon);
  UNSIGNED_LONGS_EQUAL(StartWindow::kMaxSize, owner.Size());
}

// Guards against a single slow period that shrinks the window repeatedly:
// answers to starts decided before it shrank say nothing about its present
// size.
TEST(StartWindowTest, ShrinksOnceForStartsDecidedTogether)
{
  SimulatedOwner owner;
  owner.AnswerRounds(10, kSoon);
  const size_t before = owner.Size();
  CHECK(before > 2 * StartWindow::kMaxAnswersPerRound);
  owner.AnswerOneRound(kLate);
  UNSIGNED_LONGS_EQUAL(before / 2, owner.Size());
}

// Guards against a window far larger than the owner has been seen to sustain,
// at the time when the owner becomes slow.
TEST(StartWindowTest, DoesNotGrowWithoutDeferredStarts)
{
  SimulatedOwner owner;
  for (size_t number = 0; number < 10000; number++) {
    owner.mWindow.OnOrdered();
    owner.mWindow.OnAnswered(owner.mNow, owner.mNow + kSoon);
  }
  UNSIGNED_LONGS_EQUAL(StartWindow::kInitialSize, owner.Size());
}

// Guards against a few workers that answer late, or not at all, throttling the
// starts on all others.
TEST(StartWindowTest, MinorityOfLateAnswersDoesNotShrink)
{
  SimulatedOwner owner;
  for (size_t number = 0; number < 10000; number++) {
    const bool late = number % 5 < 2;
    owner.mWindow.OnOrdered();
    owner.mWindow.OnAnswered(owner.mNow, owner.mNow + (late ? kLate : kSoon));
  }
  UNSIGNED_LONGS_EQUAL(StartWindow::kInitialSize, owner.Size());
}

// Guards against starts that must be ordered together and never fit into the
// window.
TEST(StartWindowTest, SimultaneousStartsMayExceedTheSize)
{
  SimulatedOwner owner;
  for (size_t number = 0; number < StartWindow::kInitialSize + 100; number++) {
    owner.mWindow.OnOrdered();
  }
  CHECK(owner.mWindow.IsFull());
  const size_t untilFree = 100 + StartWindow::kInitialSize / 4;
  for (size_t number = 1; number < untilFree; number++) {
    owner.mWindow.OnAnswered(owner.mNow, owner.mNow);
  }
  CHECK(owner.mWindow.IsFull());
  owner.mWindow.OnAnswered(owner.mNow, owner.mNow);
  CHECK_FALSE(owner.mWindow.IsFull());
}

// Guards against an owner that runs one placement pass per answer.
TEST(StartWindowTest, StaysFullUntilAQuarterIsFree)
{
  SimulatedOwner owner;
  while (!owner.mWindow.IsFull()) {
    owner.mWindow.OnOrdered();
  }
  UNSIGNED_LONGS_EQUAL(StartWindow::kInitialSize,
                       owner.mWindow.TakeStats().mInFlight);
  for (size_t number = 1; number < StartWindow::kInitialSize / 4; number++) {
    owner.mWindow.OnAnswered(owner.mNow, owner.mNow);
  }
  CHECK(owner.mWindow.IsFull());
  owner.mWindow.OnAnswered(owner.mNow, owner.mNow);
  CHECK_FALSE(owner.mWindow.IsFull());
  owner.mWindow.OnOrdered();
  CHECK_FALSE(owner.mWindow.IsFull());
}

TEST(StartWindowTest, StatsCountDeferredStarts)
{
  SimulatedOwner owner;
  owner.mWindow.OnOrdered();
  owner.mWindow.OnStartDeferred();
  owner.mWindow.OnStartDeferred();
  const StartWindowStats figures = owner.mWindow.TakeStats();
  UNSIGNED_LONGS_EQUAL(1, figures.mInFlight);
  UNSIGNED_LONGS_EQUAL(2, figures.mDeferrals);
  UNSIGNED_LONGS_EQUAL(0, owner.mWindow.TakeStats().mDeferrals);
}

} // namespace mulberryvalve
