// Changes of owner at random that overlap with workers that drain, leave, go
// dark, move, are born anew or are cut from one owner, and with orders that
// are lost or late.
#include "mulberryvalve/core/jobs/takeover_world_fake.h"

#include "CppUTest/TestHarness.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeeds = 60;
constexpr size_t kWorkers = 8;
// So many workers at least are up and stay when another one goes away.
constexpr size_t kAlwaysUp = 4;
constexpr int kRounds = 80;
// Once all is whole everything is over, or runs if it lasts, within this.
constexpr Milliseconds kWhole{ 15000 };

// Trouble is what may happen in a round.
enum class Trouble
{
  kKilledOwner,
  kSupersededOwner,
  kSplitOwner,
  kDrain,
  kCrash,
  kDark,
  kReturn,
  kCut,
  kNoAnswers,
  kMendLinks,
  kReborn,
  kMove,
  kLateOrders,
  kLostOrders,
  kCancel,
  kNone,
};
constexpr uint32_t kTroubles = static_cast<uint32_t>(Trouble::kNone) + 1;

// RandomDay plays one seed.
class RandomDay
{
public:
  explicit RandomDay(uint32_t aSeed)
    : mRandom(aSeed)
    , mWorld(kWorkers)
  {
    mWorld.mGangsBreak = true;
    mWorld.mDurationOf = [](const TaskRef& aTask) { return DurationOf(aTask); };
    mWorld.mLateBy = [this](const TaskOrder&) { return Lateness(); };
    for (size_t index = 0; index < kWorkers; index++) {
      mWorld.Worker(index).mClockPerMille = 980 + Pick(21);
    }
    mWorld.AddOwner();
  }

  void Play()
  {
    for (mRound = 0; mRound < kRounds; mRound++) {
      mWorld.Submit(NextJob());
      Make(static_cast<Trouble>(Pick(kTroubles)));
      RunFor(Milliseconds(100 * (1 + Pick(10))));
    }
    MakeWhole();
    RunFor(kWhole);
  }

  // Findings returns what the checker of the world found.
  const std::vector<std::string>& Findings() const { return mWorld.Findings(); }

  // Unfinished names a task that does not run though it lasts, or a job that
  // is not over; empty when there is none.
  std::string Unfinished()
  {
    for (const JobGraph& job : mJobs) {
      const std::string& id = job.mId.Text();
      const bool lasts = job.mSteps[0].mLasting;
      const bool over = IsOver(*Owner().mShard->Phase(job.mId));
      const size_t runs = mWorld.RunningOf(job.mId);
      if (lasts && !over && runs != job.mSteps[0].mCount) {
        return id + " lasts, and " + std::to_string(runs) + " run";
      }
      if (!lasts && (!over || runs != 0)) {
        return id + " is not over, " + std::to_string(runs) + " run";
      }
    }
    return "";
  }

private:
  static Milliseconds DurationOf(const TaskRef& aTask)
  {
    switch (aTask.mStep.mJob.Text()[0]) {
      case 'l':
        return TakeoverWorld::kLong;
      case 'g':
        return Milliseconds(1500);
      default:
        return Milliseconds(300 + 400 * (aTask.mIndex % 7));
    }
  }

  uint32_t Pick(uint32_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % aBelow);
  }

  FakeOwner& Owner() { return mWorld.Owner(mOwners - 1); }

  JobGraph NextJob()
  {
    const uint32_t kind = Pick(6);
    const bool lasts = kind <= 1 && mRound % 2 == 0;
    const bool gang = kind == 2;
    const std::string id =
      std::string(lasts ? "l" : (gang ? "g" : "j")) + std::to_string(mRound);
    JobGraph job = OneStepJob(id, 1 + Pick(6), 500 * (1 + Pick(10)));
    StepSpec& step = job.mSteps[0];
    step.mLasting = lasts;
    step.mGang = gang;
    step.mFills = kind == 3;
    if (lasts || gang) {
      step.mCount = 1 + Pick(3);
      step.mDemand.mCpuMillis = 1000;
    }
    mJobs.push_back(job);
    return job;
  }

  std::optional<Milliseconds> Lateness()
  {
    if (!mOrdersAreLate || Pick(3) != 0) {
      return std::nullopt;
    }
    return Milliseconds(100 + Pick(2900));
  }

  // A worker in aState that the list names, if there is one and, for one that
  // is up, if enough others are.
  std::optional<WorkerId> One(NodeState aState)
  {
    std::vector<WorkerId> ids;
    for (size_t index = 0; index < kWorkers; index++) {
      const FakeWorkerNode& worker = mWorld.Worker(index);
      const bool away = worker.mLeavesAt || mListedAt.count(worker.mFacts.mId);
      if (worker.mState == aState && !(aState == NodeState::kUp && away)) {
        ids.push_back(worker.mFacts.mId);
      }
    }
    const size_t least = aState == NodeState::kUp ? kAlwaysUp : 0;
    if (ids.size() <= least) {
      return std::nullopt;
    }
    return ids[Pick(static_cast<uint32_t>(ids.size()))];
  }

  void WithOne(NodeState aState, const std::function<void(WorkerId)>& aMake)
  {
    const std::optional<WorkerId> worker = One(aState);
    if (worker) {
      aMake(*worker);
    }
  }

  void AddOwner()
  {
    mWorld.AddOwner();
    mOwners++;
  }

  void KillOwner()
  {
    mWorld.Kill(mOwners - 1);
    RunFor(Milliseconds(100 * (1 + Pick(15))));
    AddOwner();
  }

  // The former owner goes on with some workers, its successor with the others.
  void SplitOwner()
  {
    FakeOwner& former = Owner();
    AddOwner();
    former.mLinks.clear();
    for (size_t index = 0; index < kWorkers; index++) {
      FakeOwner& cut = Pick(3) == 0 ? Owner() : former;
      cut.mLinks[mWorld.Worker(index).mFacts.mId] = LinkState::kCut;
    }
  }

  void Make(Trouble aTrouble)
  {
    const WorkerId any = mWorld.Worker(Pick(kWorkers)).mFacts.mId;
    switch (aTrouble) {
      case Trouble::kKilledOwner:
        KillOwner();
        break;
      case Trouble::kSupersededOwner:
        AddOwner();
        break;
      case Trouble::kSplitOwner:
        SplitOwner();
        break;
      case Trouble::kCut:
        Owner().mLinks[any] = LinkState::kCut;
        break;
      case Trouble::kNoAnswers:
        Owner().mLinks[any] = LinkState::kNoAnswers;
        break;
      case Trouble::kMendLinks:
        Owner().mLinks.clear();
        Owner().mLostOrders.clear();
        break;
      case Trouble::kLateOrders:
        mOrdersAreLate = !mOrdersAreLate;
        break;
      case Trouble::kLostOrders:
        Owner().mLostOrders.insert(any);
        break;
      case Trouble::kCancel:
        mWorld.Cancel(mJobs[Pick(static_cast<uint32_t>(mJobs.size()))].mId);
        break;
      default:
        MakeForWorker(aTrouble);
        break;
    }
  }

  void MakeForWorker(Trouble aTrouble)
  {
    switch (aTrouble) {
      case Trouble::kDrain:
        WithOne(NodeState::kUp, [this](const WorkerId& aId) {
          mWorld.Drain(aId, Milliseconds(500 + Pick(4000)));
        });
        break;
      case Trouble::kCrash:
        WithOne(NodeState::kUp,
                [this](const WorkerId& aId) { mWorld.Leave(aId); });
        break;
      case Trouble::kDark:
        WithOne(NodeState::kUp, [this](const WorkerId& aId) {
          mWorld.GoDark(aId, mWorld.Now() + Milliseconds(Pick(8000)));
        });
        break;
      case Trouble::kReturn:
        WithOne(NodeState::kDark,
                [this](const WorkerId& aId) { mWorld.Return(aId); });
        break;
      case Trouble::kReborn:
        WithOne(Pick(2) == 0 ? NodeState::kUp : NodeState::kLeft,
                [this](const WorkerId& aId) {
                  mLeftInOrder.erase(aId);
                  mWorld.Reborn(aId);
                });
        break;
      case Trouble::kMove:
        WithOne(NodeState::kUp, [this](const WorkerId& aId) { Move(aId); });
        break;
      default:
        break;
    }
  }

  void Move(const WorkerId& aWorker)
  {
    mMoves++;
    mWorld.Move(aWorker, Endpoint{ "moved-" + std::to_string(mMoves), 7000 });
    mListedAt[aWorker] = mWorld.Now() + Milliseconds(Pick(3000));
  }

  void RunFor(Milliseconds aLength)
  {
    const MonotonicTime until = mWorld.Now() + aLength;
    while (mWorld.Now() < until) {
      mWorld.Step();
      for (size_t index = 0; index < kWorkers; index++) {
        Follow(mWorld.Worker(index));
      }
    }
  }

  // A drained worker leaves, and a moved one is listed again, in its time.
  void Follow(FakeWorkerNode& aWorker)
  {
    const WorkerId id = aWorker.mFacts.mId;
    const bool leaves = aWorker.mLeavesAt && *aWorker.mLeavesAt <= mWorld.Now();
    if (leaves && aWorker.mState != NodeState::kLeft) {
      const bool known = aWorker.mState == NodeState::kUp && Owner().mActs &&
                         Owner().mLinks.count(id) == 0;
      if (known && aWorker.mRuns.empty()) {
        mLeftInOrder.insert(id);
      }
      mWorld.Leave(id);
    }
    const auto listed = mListedAt.find(id);
    if (listed != mListedAt.end() && listed->second <= mWorld.Now()) {
      aWorker.mListed = aWorker.mState != NodeState::kLeft;
      mListedAt.erase(listed);
    }
  }

  // Nothing hinders the last owner. Those that left with nothing on them, as
  // their owner could see, stay away; the others that left are born anew.
  void MakeWhole()
  {
    mOrdersAreLate = false;
    for (size_t number = 0; number < mOwners; number++) {
      mWorld.Owner(number).mLinks.clear();
      mWorld.Owner(number).mLostOrders.clear();
    }
    for (size_t index = 0; index < kWorkers; index++) {
      FakeWorkerNode& worker = mWorld.Worker(index);
      if (worker.mState == NodeState::kDark) {
        mWorld.Return(worker.mFacts.mId);
      }
      if (worker.mState == NodeState::kLeft &&
          mLeftInOrder.count(worker.mFacts.mId) == 0) {
        mWorld.Reborn(worker.mFacts.mId);
      }
    }
  }

  std::mt19937 mRandom;
  JobWorld mWorld;
  size_t mOwners = 1;
  int mRound = 0;
  int mMoves = 0;
  bool mOrdersAreLate = false;
  std::vector<JobGraph> mJobs;
  std::map<WorkerId, MonotonicTime> mListedAt;
  std::set<WorkerId> mLeftInOrder;
};

} // namespace

TEST_GROUP(TakeoverRandomTest){};

// Any order of these troubles may start something twice, beyond a worker's room
// or after its end was noted.
TEST(TakeoverRandomTest, KeepsItsPromisesInRandomChangesOfOwner)
{
  std::string found;
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    RandomDay day(seed);
    day.Play();
    for (const std::string& finding : day.Findings()) {
      found += "seed " + std::to_string(seed) + ": " + finding + "\n";
    }
  }
  STRCMP_EQUAL("", found.c_str());
}

// Any of them may leave something behind that waits on when all is whole.
TEST(TakeoverRandomTest, NothingStaysBehindAfterRandomChangesOfOwner)
{
  std::string found;
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    RandomDay day(seed);
    day.Play();
    const std::string left = day.Unfinished();
    if (!left.empty()) {
      found += "seed " + std::to_string(seed) + ": " + left + "\n";
    }
  }
  STRCMP_EQUAL("", found.c_str());
}

} // namespace mulberryvalve
