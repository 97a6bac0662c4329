#include "standins/worker_model/worker.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve::standins;

namespace {

class InMemoryEventSink : public WorkerEventSink
{
public:
  void Append(WorkerEvent aEvent) override { mEvents.push_back(aEvent); }

  std::vector<WorkerEvent> mEvents;
};

class IgnoringDeadlineListener : public DeadlineListener
{
public:
  void OnDeadline(const std::string&, SteadyTime) override {}
};

WorkerSettings TestSettings()
{
  WorkerSettings settings;
  settings.mId = "w-0";
  settings.mBoot = "b1";
  settings.mCpuMillis = 1000;
  settings.mSlots = 2;
  settings.mUsageLagMs = 500;
  return settings;
}

StartCommand MakeStart(const std::string& aLease, int64_t aRunMs = 0)
{
  StartCommand command;
  command.mIssuer = { "s", 5 };
  command.mLease = aLease;
  command.mCpuMillis = 500;
  command.mPayload.mRunMs = aRunMs;
  command.mNotAfter = 1000;
  command.mExpiresAt = 2000;
  return command;
}

} // namespace

TEST_GROUP(Worker)
{
  ManualClock mClock;
  InMemoryEventSink mEventLog;
  IgnoringDeadlineListener mTimer;
  Worker mWorker{ TestSettings(), mClock, mEventLog, mTimer };

  SyncReport Sync(SyncCommand aCommand = {})
  {
    aCommand.mIssuer = { "s", 5 };
    return mWorker.Sync(aCommand).value();
  }

  void CheckEnd(const char* aLease, TaskOutcome aOutcome, EndReason aReason)
  {
    const SyncReport report = Sync();
    LONGS_EQUAL(1, report.mFinished.size());
    STRCMP_EQUAL(aLease, report.mFinished[0].mLease.c_str());
    CHECK(aOutcome == report.mFinished[0].mOutcome);
    CHECK(aReason == report.mFinished[0].mReason);
  }
};

TEST(Worker, RefusesStarts)
{
  struct Row
  {
    const char* mName;
    StartCommand mCommand;
    CommandErrorCode mError;
  };
  std::vector<Row> rows{
    { "fenced", MakeStart("a"), CommandErrorCode::kFenced },
    { "not_after", MakeStart("a"), CommandErrorCode::kTooLate },
    { "expires_at", MakeStart("a"), CommandErrorCode::kTooLate },
    { "boot", MakeStart("a"), CommandErrorCode::kOtherBoot },
    { "checkpoint", MakeStart("a"), CommandErrorCode::kBadCheckpoint },
    { "stopped", MakeStart("stopped"), CommandErrorCode::kLeaseStopped },
  };
  rows[0].mCommand.mIssuer.mFence = 4;
  rows[1].mCommand.mNotAfter = 99;
  rows[2].mCommand.mExpiresAt = 100;
  rows[3].mCommand.mBoot = "b0";
  rows[4].mCommand.mResumeFrom = "x@a";
  CHECK(mWorker.Stop({ { "s", 5 }, "stopped" }).has_value());
  mClock.Advance(Milliseconds(100));
  for (const Row& row : rows) {
    const auto result = mWorker.Start(row.mCommand);
    CHECK_TEXT(!result, row.mName);
    CHECK_TEXT(row.mError == result.error().mCode, row.mName);
  }
  LONGS_EQUAL(0, mEventLog.mEvents.size());
}

TEST(Worker, FencesCommandsWithStaleTokenOnly)
{
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  const LeaseCommand old{ { "s", 4 }, "a" };
  LONGS_EQUAL(5, mWorker.Stop(old).error().mFence);
  CHECK(!mWorker.Checkpoint(old));
  CHECK(!mWorker.Throttle(old, 50));
  CHECK(!mWorker.Sync({ old.mIssuer, { { "a", 9000 } }, {} }));
  CHECK(mWorker.Stop({ { "other", 1 }, "b" }).has_value());
  LONGS_EQUAL(2000, Sync().mRunning.at(0).mExpiresAt);
}

TEST(Worker, StartIsIdempotentByLeaseAfterStop)
{
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  CHECK(mWorker.Stop({ { "s", 5 }, "a" }).has_value());
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  LONGS_EQUAL(2, mEventLog.mEvents.size());
  LONGS_EQUAL(0, Sync().mRunning.size());
}

TEST(Worker, EndsTasks)
{
  struct Row
  {
    const char* mLease;
    int64_t mRunMs;
    bool mFail;
    bool mFailAtStart;
    bool mFaulty;
    TaskOutcome mOutcome;
    EndReason mReason;
  };
  const Row rows[] = {
    { "a", 50, false, false, false, TaskOutcome::kCompleted, EndReason::kNone },
    { "b",
      50,
      true,
      false,
      false,
      TaskOutcome::kFailed,
      EndReason::kFailedAtEnd },
    { "c",
      50,
      false,
      true,
      false,
      TaskOutcome::kFailed,
      EndReason::kFailedAtStart },
    { "d",
      50,
      false,
      false,
      true,
      TaskOutcome::kFailed,
      EndReason::kWorkerFault },
    { "e",
      0,
      true,
      false,
      false,
      TaskOutcome::kExpired,
      EndReason::kLeaseExpired },
    { "f",
      9000,
      true,
      false,
      false,
      TaskOutcome::kExpired,
      EndReason::kLeaseExpired },
  };
  ClockMs now = 0;
  for (const Row& row : rows) {
    mWorker.Faults().Set(WorkerFault::kFailEverything, row.mFaulty ? 1 : 0);
    StartCommand command = MakeStart(row.mLease, row.mRunMs);
    command.mExpiresAt = now + 100;
    command.mPayload.mFail = row.mFail;
    command.mPayload.mFailAtStart = row.mFailAtStart;
    CHECK(mWorker.Start(command).has_value());
    mClock.Advance(Milliseconds(100));
    now += 100;
    CheckEnd(row.mLease, row.mOutcome, row.mReason);
    CheckEnd(row.mLease, row.mOutcome, row.mReason);
    SyncCommand acknowledge;
    acknowledge.mAcknowledged = { row.mLease };
    LONGS_EQUAL(0, Sync(acknowledge).mFinished.size());
  }
}

TEST(Worker, RecordsDueTimeOfTaskEnd)
{
  CHECK(mWorker.Start(MakeStart("a", 50)).has_value());
  mClock.Advance(Milliseconds(80));
  mWorker.Advance();
  LONGS_EQUAL(50, mEventLog.mEvents[1].mWallMs - mEventLog.mEvents[0].mWallMs);
}

TEST(Worker, KeepsProgressInCheckpoints)
{
  CHECK(mWorker.Start(MakeStart("a", 1000)).has_value());
  mClock.Advance(Milliseconds(100));
  CHECK(mWorker.Throttle({ { "s", 5 }, "a" }, 50).has_value());
  mClock.Advance(Milliseconds(100));
  const auto checkpoint = mWorker.Checkpoint({ { "s", 5 }, "a" });
  STRCMP_EQUAL("150@a", checkpoint.value().c_str());

  StartCommand resumed = MakeStart("b", 1000);
  resumed.mResumeFrom = checkpoint.value();
  CHECK(mWorker.Start(resumed).has_value());
  mClock.Advance(Milliseconds(850));
  CheckEnd("b", TaskOutcome::kCompleted, EndReason::kNone);
  CHECK(CommandErrorCode::kNoLease ==
        mWorker.Checkpoint({ { "s", 5 }, "b" }).error().mCode);
}

TEST(Worker, RenewsLeases)
{
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  SyncCommand renewal;
  renewal.mRenewals = { { "a", 3000 } };
  LONGS_EQUAL(3000, Sync(renewal).mRunning.at(0).mExpiresAt);
  mClock.Advance(Milliseconds(2999));
  LONGS_EQUAL(1, Sync().mRunning.size());
  mClock.Advance(Milliseconds(1));
  CheckEnd("a", TaskOutcome::kExpired, EndReason::kLeaseExpired);
}

TEST(Worker, EachRequestOccupiesASlot)
{
  const RequestCommand request{ "1", "k", 10 };
  const RequestResult first = mWorker.BeginRequest(request);
  CHECK(mWorker.BeginRequest(request).has_value());
  CHECK(RequestErrorCode::kNoSlot == mWorker.BeginRequest(request).error());
  mWorker.EndRequest(request, first.value());
  CHECK(mWorker.BeginRequest(request).has_value());
  mWorker.Drain();
  CHECK(RequestErrorCode::kDraining == mWorker.BeginRequest(request).error());
  mWorker.Faults().Set(WorkerFault::kRequestError, 1);
  CHECK(RequestErrorCode::kFailed == mWorker.BeginRequest(request).error());
}

TEST(Worker, InterferenceLengthensRequests)
{
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  mWorker.Faults().Set(WorkerFault::kInterferencePercent, 200);
  mWorker.Faults().Set(WorkerFault::kRequestDelayMs, 7);
  const RequestResult ticket = mWorker.BeginRequest({ "1", "", 10 });
  CHECK(Milliseconds(27) == ticket.value().mEndsAt - ticket.value().mBegunAt);
}

TEST(Worker, ReportsUsageWithALag)
{
  mWorker.Advance();
  CHECK(mWorker.Start(MakeStart("a")).has_value());
  mClock.Advance(Milliseconds(300));
  mWorker.Advance();
  LONGS_EQUAL(0, Sync().mUsage.mCpuMillis);
  mClock.Advance(Milliseconds(500));
  const UsageReport usage = Sync().mUsage;
  LONGS_EQUAL(500, usage.mCpuMillis);
  LONGS_EQUAL(300, usage.mTakenAt);
  mWorker.Faults().Set(WorkerFault::kStopReports, 1);
  mWorker.Advance();
  mClock.Advance(Milliseconds(900));
  LONGS_EQUAL(300, Sync().mUsage.mTakenAt);
}
