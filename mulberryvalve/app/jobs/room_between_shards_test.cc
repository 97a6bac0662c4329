// Tests that the only worker of a cluster serves the jobs of two shards, one
// after the other, with the owners' threads and records.
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr ShardNumber kShards = 2;

// Gives each shard to the only member.
class AllShardsGroup : public ShardGroup
{
public:
  explicit AllShardsGroup(uint64_t aGeneration)
    : mGeneration(aGeneration)
  {
  }

  Result<GroupAssignment> Join(ShardNumber, Generation) override
  {
    GroupAssignment share;
    share.mGeneration = mGeneration;
    share.mHoldsShard = true;
    share.mIsOnlyMember = true;
    return share;
  }
  Result<GroupView> View(ShardNumber) override { return GroupView(); }
  Result<void> Leave(ShardNumber) override { return Done(); }

private:
  const Generation mGeneration;
};

// Returns the id of a job of a shard.
std::string JobOf(ShardNumber aShard, const std::string& aName)
{
  std::string id = aName;
  while (ShardOfJob(JobId(id), kShards) != aShard) {
    id += "-";
  }
  return id;
}

} // namespace

TEST_GROUP(RoomBetweenShardsTest)
{
  MemoryLog mLog;
  InstantWorker mWorkers;
  const ShardNumber mHome = ShardOfWorker(WorkerId("w"), kShards);
  const ShardNumber mOther = 1 - mHome;

  std::unique_ptr<JobsInstance> StartInstance(uint64_t aGeneration)
  {
    auto instance = std::make_unique<JobsInstance>(
      mLog,
      mWorkers,
      std::make_unique<AllShardsGroup>(aGeneration),
      0,
      kShards);
    instance->Start();
    return instance;
  }

  bool IsMoveOn(KeyedTopic aTopic) const
  {
    return mLog.Holds(aTopic, "move/w");
  }
};

// Guards against jobs that wait for ever beside an idle worker of another shard
// (issue 26).
TEST(RoomBetweenShardsTest, AWorkerServesBothShards)
{
  const auto instance = StartInstance(1);
  instance->Complete(JobOf(mHome, "first").c_str());
  CHECK_FALSE(IsMoveOn(KeyedTopic::kProgress));
  instance->Complete(JobOf(mOther, "second").c_str());
  CHECK(IsMoveOn(KeyedTopic::kProgress));
  CHECK(IsMoveOn(KeyedTopic::kIntake));
  // It is asked back.
  instance->Complete(JobOf(mHome, "third").c_str());
  instance->Complete(JobOf(mOther, "fourth").c_str());
}

// Guards against owners that forget a move, or call a worker with tokens that
// it no longer accepts.
TEST(RoomBetweenShardsTest, SuccessorsKnowWhereTheWorkerIs)
{
  {
    const auto former = StartInstance(1);
    former->Complete(JobOf(mOther, "first").c_str());
  }
  const auto next = StartInstance(2);
  next->Complete(JobOf(mOther, "second").c_str());
  const TaskRef first{ { JobId(JobOf(mOther, "first")), 0, 0 }, 0 };
  CHECK_EQUAL(1U, mWorkers.Starts(first));
}

} // namespace mulberryvalve
