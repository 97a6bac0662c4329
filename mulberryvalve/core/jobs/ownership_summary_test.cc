// Tests of what an ended owner tells, and of what its successors conclude.
#include "mulberryvalve/core/jobs/ownership_summary.h"

#include "mulberryvalve/core/jobs/ended_ownerships.h"
#include "mulberryvalve/core/jobs/former_owners.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const WorkerId kFirst("w1");
const WorkerId kSecond("w2");
constexpr MonotonicTime kNow{ std::chrono::seconds(1000) };

TaskRef TaskAt(uint32_t aIndex)
{
  return TaskRef{ StepRef{ JobId("j"), 0, 0 }, aIndex };
}

JobRecord RecordOfPart(uint32_t aPart, JobPhase aPhase = JobPhase::kRunning)
{
  JobRecord record;
  record.mId = JobId("j");
  record.mPart = aPart;
  record.mPhase = aPhase;
  return record;
}

FormerOwner OwnerOf(uint64_t aEpoch)
{
  FormerOwner owner{ Epoch(aEpoch), Endpoint{ "peer", 1 }, Incarnation(1) };
  owner.mActiveFor = Milliseconds(1);
  owner.mRecordsUse = true;
  return owner;
}

// Returns the answer of an owner that ended a second ago and was asked about
// kFirst.
FormerOwnerEnd EndOf(uint64_t aEpoch, std::optional<ToldUse> aTold)
{
  FormerOwnerEnd end;
  end.mEpoch = Epoch(aEpoch);
  end.mEndedBy = kNow - Milliseconds(1000);
  end.mReceivedAt = kNow;
  end.mAskedOf = { kFirst };
  end.mTold = std::move(aTold);
  return end;
}

ToldUse ToldOfFirst(std::optional<Milliseconds> aLeasesLeft,
                    std::vector<UnrecordedStart> aStarts = {})
{
  ToldUse told;
  told.mWorkers.push_back(ToldWorker{ kFirst, aLeasesLeft });
  told.mUnrecorded = std::move(aStarts);
  return told;
}

size_t Count(const UnrecordedStartList& aList)
{
  return aList.On({ kFirst, kSecond }).value().size();
}

} // namespace

TEST_GROUP(OwnershipSummaryTest)
{
  const WorkerTable mWorkers{ LeaseTerms() };
  FormerOwners mOwners;

  std::optional<MonotonicTime> EndOnFirst(std::optional<Epoch> aLastUser = {})
  {
    return mOwners.RunsEndBy(kFirst, aLastUser, mWorkers);
  }
};

TEST(OwnershipSummaryTest, AStartIsForgottenOnceARecordNamesItsWorker)
{
  UnrecordedStartList list;
  list.OnSent(TaskAt(0), kFirst, 0);
  JobRecord record = RecordOfPart(0);
  record.mTasks.resize(1);
  record.mTasks[0].mPossibleWorkers = { kSecond };
  list.OnDurable(record);
  CHECK_EQUAL(1U, Count(list));
  record.mTasks[0].mPossibleWorkers = { kFirst };
  list.OnDurable(record);
  CHECK_EQUAL(0U, Count(list));
}

// Guards against a start that is forgotten by a record that was taken before
// it, or by that of another part.
TEST(OwnershipSummaryTest, AStartIsForgottenByARecordThatWasTakenAfterIt)
{
  UnrecordedStartList list;
  list.OnTaken({ RecordOfPart(1) });
  list.OnSent(TaskAt(300), kFirst, 1);
  list.OnDurable(RecordOfPart(1));
  CHECK_EQUAL(1U, Count(list));
  list.OnTaken({ RecordOfPart(0), RecordOfPart(1) });
  list.OnDurable(RecordOfPart(0));
  CHECK_EQUAL(1U, Count(list));
  list.OnDurable(RecordOfPart(1));
  CHECK_EQUAL(0U, Count(list));
  list.OnSent(TaskAt(300), kFirst, 1);
  list.OnDurable(RecordOfPart(0, JobPhase::kCancelled));
  CHECK_EQUAL(0U, Count(list));
}

TEST(OwnershipSummaryTest, AListThatDroppedStartsTellsNothing)
{
  UnrecordedStartList list;
  for (uint32_t index = 0; index < UnrecordedStartList::kMaxStarts; index++) {
    list.OnSent(TaskAt(index), kFirst, 0);
  }
  CHECK_EQUAL(size_t{ UnrecordedStartList::kMaxStarts }, Count(list));
  CHECK_EQUAL(0U, list.On({ kSecond }).value().size());
  list.OnSent(TaskAt(UnrecordedStartList::kMaxStarts), kFirst, 0);
  CHECK_FALSE(list.On({ kSecond }).has_value());
}

TEST(OwnershipSummaryTest, TellsOfTheNamedWorkersThatItKnows)
{
  UnrecordedStartList starts;
  starts.OnSent(TaskAt(0), kFirst, 0);
  starts.OnSent(TaskAt(1), WorkerId("unnamed"), 0);
  starts.OnSent(TaskAt(2), WorkerId("removed"), 0);
  const OwnershipSummary summary(
    { { kFirst, kNow + Milliseconds(1500) }, { kSecond, std::nullopt } },
    starts);
  const ToldUse told =
    summary.TellOf({ kFirst, kSecond, WorkerId("removed"), kFirst }, kNow);
  CHECK_EQUAL(2U, told.mWorkers.size());
  CHECK(Milliseconds(1500) == told.mWorkers[0].mLeasesLeft.value());
  CHECK_FALSE(told.mWorkers[1].mLeasesLeft.has_value());
  CHECK_EQUAL(1U, told.mUnrecorded.value().size());
  CHECK(TaskAt(0) == told.mUnrecorded.value()[0].mTask);
  const ToldUse late = summary.TellOf({ kFirst }, kNow + Milliseconds(9000));
  CHECK(Milliseconds(0) == late.mWorkers[0].mLeasesLeft.value());
}

TEST(OwnershipSummaryTest, AnOwnerThatLoadedNothingUsedNoWorker)
{
  const ToldUse told = OwnershipSummary().TellOf({ kFirst }, kNow);
  CHECK_EQUAL(1U, told.mWorkers.size());
  CHECK_FALSE(told.mWorkers[0].mLeasesLeft.has_value());
  CHECK_EQUAL(0U, told.mUnrecorded.value().size());
}

TEST(OwnershipSummaryTest, MoreStartsThanAnAnswerHoldsAreNotTold)
{
  UnrecordedStartList starts;
  for (uint32_t index = 0; index <= kMaxToldStarts; index++) {
    starts.OnSent(TaskAt(index), kFirst, 0);
  }
  const OwnershipSummary summary({ { kFirst, kNow }, { kSecond, kNow } },
                                 starts);
  CHECK_FALSE(summary.TellOf({ kFirst }, kNow).mUnrecorded.has_value());
  CHECK(summary.TellOf({ kSecond }, kNow).mUnrecorded.has_value());
}

TEST(OwnershipSummaryTest, TheNewestEndsAreKept)
{
  EndedOwnerships ends;
  for (uint64_t epoch = 1; epoch <= EndedOwnerships::kMaxEpochs + 1; epoch++) {
    ends.Add(std::make_shared<OwnershipEnd>(
      OwnershipEnd{ Epoch(epoch), kNow, OwnershipSummary() }));
  }
  CHECK(ends.Find(Epoch(1)) == nullptr);
  CHECK(ends.Find(Epoch(2)) != nullptr);
}

// The owner's clock may be slower by 2%, and its answer have been on its way
// for any time.
TEST(OwnershipSummaryTest, ToldLeasesAreCountedFromTheArrivalOfTheAnswer)
{
  mOwners.Add(OwnerOf(1));
  mOwners.OnTold(EndOf(1, ToldOfFirst(Milliseconds(980))));
  CHECK(kNow + Milliseconds(1000) == EndOnFirst().value());
}

// Guards against a told end that outlasts what bounds the leases anyway.
TEST(OwnershipSummaryTest, TheEarlierOfTheBoundsCounts)
{
  mOwners.Add(OwnerOf(1));
  mOwners.OnTold(EndOf(1, ToldOfFirst(Milliseconds(60000))));
  const auto endOfRuns = mWorkers.EndOfRunsOrderedBy(kNow - Milliseconds(1000));
  CHECK(endOfRuns == EndOnFirst().value());
}

TEST(OwnershipSummaryTest, AWorkerThatWasNotToldIsWaitedForAsBefore)
{
  mOwners.Add(OwnerOf(1));
  mOwners.OnTold(EndOf(1, ToldOfFirst(std::nullopt)));
  CHECK(EndOnFirst().value() < kNow);
  CHECK(mWorkers.EndOfRunsOrderedBy(kNow - Milliseconds(1000)) ==
        mOwners.RunsEndBy(kSecond, std::nullopt, mWorkers).value());
  CHECK_FALSE(mOwners.UnrecordedStartsOn(kSecond, std::nullopt).has_value());
}

// Guards against a bucket that is released while an owner that may have used
// the worker has not told its starts (TWICE).
TEST(OwnershipSummaryTest, AllPossibleUsersMustTellTheirStarts)
{
  mOwners.Add(OwnerOf(1));
  mOwners.Add(OwnerOf(2));
  mOwners.OnTold(
    EndOf(2, ToldOfFirst(Milliseconds(0), { { TaskAt(2), kFirst } })));
  CHECK_FALSE(mOwners.UnrecordedStartsOn(kFirst, Epoch(2)).has_value());
  mOwners.OnTold(
    EndOf(1, ToldOfFirst(Milliseconds(0), { { TaskAt(1), kFirst } })));
  CHECK_EQUAL(2U, mOwners.UnrecordedStartsOn(kFirst, Epoch(2)).value().size());
  CHECK_EQUAL(1U, mOwners.UnrecordedStartsOn(kFirst, Epoch(1)).value().size());
}

TEST(OwnershipSummaryTest, StartsThatAreNotAllNamedReleaseNothing)
{
  mOwners.Add(OwnerOf(1));
  ToldUse told = ToldOfFirst(Milliseconds(0));
  told.mUnrecorded.reset();
  mOwners.OnTold(EndOf(1, told));
  CHECK_FALSE(mOwners.UnrecordedStartsOn(kFirst, std::nullopt).has_value());
}

// A process that was started since tells no more than its age.
TEST(OwnershipSummaryTest, AnOwnerIsAskedUntilItWasAskedOfAllThatIsPending)
{
  mOwners.Add(OwnerOf(1));
  mOwners.Add(OwnerOf(2));
  const std::vector<WorkerId> pending{ kFirst, kSecond };
  CHECK_EQUAL(2U, mOwners.Questions(pending).size());
  CHECK_EQUAL(2U, mOwners.Questions(pending)[0].mWorkers.size());
  mOwners.OnTold(EndOf(1, ToldOfFirst(std::nullopt)));
  mOwners.OnTold(EndOf(2, std::nullopt));
  const auto questions = mOwners.Questions(pending);
  CHECK_EQUAL(1U, questions.size());
  CHECK(questions[0].mWorkers == std::vector<WorkerId>{ kSecond });
  CHECK(mOwners.Questions({ kFirst }).empty());
}

} // namespace mulberryvalve
