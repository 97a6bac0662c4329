// Tests that instances learn the largest processor from each other.
#include "mulberryvalve/adapters/json/layout_json.h"
#include "mulberryvalve/app/jobs/jobs_fake.h"
#include "mulberryvalve/app/jobs/layout_follower.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kTestTimeout{ 20000 };

// A follower on a log that it shares with others.
class FollowerInstance
{
public:
  FollowerInstance(MemoryLog& aLog, MilliCores aProcessor)
    : mFollower(aProcessor, mView, LayoutPorts{ aLog, mCodec, mClock, mEvents })
  {
    mFollower.Start();
  }

  // Returns the largest processor as soon as it is known.
  MilliCores Await() const
  {
    Mutex mutex;
    CondVar cond;
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    MutexLock lock(mutex);
    while (mView.Current().mLargestCpu == 0 &&
           std::chrono::steady_clock::now() < until) {
      cond.WaitUntil(mutex, std::chrono::steady_clock::now() + Milliseconds(5));
    }
    return mView.Current().mLargestCpu;
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

// Guards against a small instance that considers itself the largest because it
// started slightly before the others.
TEST(LayoutFollowerTest, TheFirstInstanceLearnsOfALargerOne)
{
  MemoryLog log;
  const FollowerInstance small(log, 69);
  const FollowerInstance large(log, 500);
  CHECK_EQUAL(500U, small.Await());
  CHECK_EQUAL(500U, large.Await());
}

TEST(LayoutFollowerTest, TheLargestProcessorOutlivesItsInstance)
{
  MemoryLog log;
  {
    const FollowerInstance large(log, 500);
    CHECK_EQUAL(500U, large.Await());
  }
  const FollowerInstance small(log, 69);
  CHECK_EQUAL(500U, small.Await());
  CHECK_EQUAL(1U, log.CountAppends(KeyedTopic::kLayout));
}

// A publication that is refused or whose answer is lost is repeated.
TEST(LayoutFollowerTest, AFailedPublicationIsRepeated)
{
  MemoryLog log;
  log.FailNext({ AppendFault::kRefused, AppendFault::kLost });
  const FollowerInstance instance(log, 500);
  CHECK_EQUAL(500U, instance.Await());
  CHECK(log.Holds(KeyedTopic::kLayout, "processor/500"));
}

TEST(LayoutFollowerTest, HalfOfTheLargestProcessorIsCapable)
{
  const ClusterLayout layout{ 500 };
  CHECK(layout.MayOwnShards(250));
  CHECK_FALSE(layout.MayOwnShards(249));
  CHECK_FALSE(ClusterLayout().MayOwnShards(250));
}

} // namespace mulberryvalve
