// What instances note of their processors, and what others make of it.
#include "mulberryvalve/adapters/json/layout_json.h"
#include "mulberryvalve/app/jobs/jobs_fake.h"
#include "mulberryvalve/app/jobs/layout_follower.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kPatience{ 20000 };

// Node follows the layout on a log that it shares with others.
class Node
{
public:
  Node(MemoryLog& aLog, MilliCores aProcessor)
    : mFollower(aProcessor, mView, LayoutPorts{ aLog, mCodec, mClock, mEvents })
  {
    mFollower.Start();
  }

  // Await returns the largest processor as soon as it is known.
  MilliCores Await() const
  {
    Mutex mutex;
    CondVar cond;
    const auto until = std::chrono::steady_clock::now() + kPatience;
    MutexLock lock(mutex);
    while (mView.Present().mLargestProcessor == 0 &&
           std::chrono::steady_clock::now() < until) {
      cond.WaitUntil(mutex, std::chrono::steady_clock::now() + Milliseconds(5));
    }
    return mView.Present().mLargestProcessor;
  }

private:
  RealClock mClock;
  SilentEvents mEvents;
  LayoutJson mCodec;
  LayoutView mView;
  LayoutFollower mFollower;
};

} // namespace

TEST_GROUP(LayoutFollowerTest){};

// Guards against a weak instance that takes itself for the largest because it
// started a moment before the others.
TEST(LayoutFollowerTest, WhoStartsFirstLearnsOfALargerOne)
{
  MemoryLog log;
  const Node weak(log, 69);
  const Node capable(log, 500);
  CHECK_EQUAL(500U, weak.Await());
  CHECK_EQUAL(500U, capable.Await());
}

TEST(LayoutFollowerTest, TheLargestOutlastsItsInstance)
{
  MemoryLog log;
  {
    const Node capable(log, 500);
    CHECK_EQUAL(500U, capable.Await());
  }
  const Node weak(log, 69);
  CHECK_EQUAL(500U, weak.Await());
  CHECK_EQUAL(1U, log.CountAppends(KeyedTopic::kLayout));
}

// An append whose answer is lost, or that is refused, is made again.
TEST(LayoutFollowerTest, AFailedNoteIsMadeAgain)
{
  MemoryLog log;
  log.FailNext({ AppendFault::kRefused, AppendFault::kLost });
  const Node node(log, 500);
  CHECK_EQUAL(500U, node.Await());
  CHECK(log.Holds(KeyedTopic::kLayout, "processor/500"));
}

TEST(LayoutFollowerTest, HalfOfTheLargestProcessorIsCapable)
{
  const ClusterLayout layout{ 500 };
  CHECK(layout.IsCapable(250));
  CHECK_FALSE(layout.IsCapable(249));
  CHECK_FALSE(ClusterLayout().IsCapable(250));
}

} // namespace mulberryvalve
