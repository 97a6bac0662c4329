#include "mulberryvalve/app/requests/request_path_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

const StreamName kKeyStreamName("keys.0");
constexpr Milliseconds kCommitWindow{ 2 };
constexpr Milliseconds kFollowerWait{ 20 };

WriterOptions WriterSettings()
{
  WriterOptions options;
  options.mCommitWindow = kCommitWindow;
  return options;
}

FollowerOptions FollowerSettings()
{
  FollowerOptions options;
  options.mWait = kFollowerWait;
  options.mRetryAfter = kFollowerWait;
  return options;
}

void SleepFor(Milliseconds aTime)
{
  StopSignal pause;
  pause.WaitUntil(std::chrono::steady_clock::now() + aTime);
}

} // namespace

Result<AppendedRange> LogFake::Append(const StreamName&,
                                      const std::vector<LogRecord>& aRecords)
{
  MutexLock lock(mMutex);
  if (mOutage) {
    return Fail(FailureKind::kLogUnavailable);
  }
  const Offset first(mRecords.size() + 1);
  for (const LogRecord& record : aRecords) {
    mRecords.push_back(StoredRecord{ Offset(mRecords.size() + 1), record });
  }
  mCondVar.NotifyAll();
  return AppendedRange{ first, Offset(mRecords.size() + 1) };
}

Result<LogPage> LogFake::Read(const StreamName&,
                              Offset aFrom,
                              uint32_t,
                              Milliseconds aWait)
{
  const auto until = std::chrono::steady_clock::now() + aWait;
  MutexLock lock(mMutex);
  while (!mOutage && mRecords.size() < aFrom.Value() &&
         mCondVar.WaitUntil(mMutex, until)) {
  }
  if (mOutage) {
    return Fail(FailureKind::kLogUnavailable);
  }
  LogPage page{ Offset(1), Offset(mRecords.size() + 1), {} };
  for (size_t i = aFrom.Value() - 1; i < mRecords.size(); i++) {
    page.mRecords.push_back(mRecords[i]);
  }
  return page;
}

void LogFake::SetOutage(bool aOutage)
{
  MutexLock lock(mMutex);
  mOutage = aOutage;
  mCondVar.NotifyAll();
}

UpstreamReply UpstreamsFake::Send(const WorkerSpec& aWorker,
                                  const UpstreamCall& aCall)
{
  Milliseconds serviceTime{ 0 };
  UpstreamReply reply;
  {
    MutexLock lock(mMutex);
    if (mRunning[aWorker.mId] >= mSlots) {
      return UpstreamReply{ SendResult::kRefused, 429, "", false };
    }
    mMaxConcurrentRuns = std::max(mMaxConcurrentRuns, ++mRunning[aWorker.mId]);
    mRuns[aCall.mKey.Text()]++;
    serviceTime = mServiceTime;
    reply = mReply;
  }
  SleepFor(serviceTime);
  MutexLock lock(mMutex);
  mRunning[aWorker.mId]--;
  return reply;
}

void UpstreamsFake::SetReply(UpstreamReply aReply, Milliseconds aServiceTime)
{
  MutexLock lock(mMutex);
  mReply = std::move(aReply);
  mServiceTime = aServiceTime;
}

int UpstreamsFake::RunCount(const std::string& aKey)
{
  MutexLock lock(mMutex);
  return mRuns[aKey];
}

uint32_t UpstreamsFake::MaxConcurrentRuns()
{
  MutexLock lock(mMutex);
  return mMaxConcurrentRuns;
}

MonotonicTime ClockFake::Now() const
{
  return MonotonicTime(std::chrono::duration_cast<Microseconds>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

UpstreamSnapshot MakeUpstreams(int aWorkers, int aSlots)
{
  UpstreamSnapshot view;
  view.mHasBundle = true;
  for (int i = 0; i < aWorkers; i++) {
    WorkerSpec worker;
    worker.mId = WorkerId("w-" + std::to_string(i));
    worker.mSlots = aSlots;
    view.mWorkers.push_back(worker);
  }
  return view;
}

RequestPathFake::RequestPathFake(const std::string& aName,
                                 LogFake& aLog,
                                 UpstreamsFake& aWorkers,
                                 UpstreamSnapshot aSnapshot)
  : mSelf(WriterId{ InstanceId(aName), Incarnation(1) })
  , mState(KeyStateMachine(), mClock)
  , mFollower(kKeyStreamName, mState, aLog, mClock, mRandom, FollowerSettings())
  , mWriter(kKeyStreamName,
            mSelf,
            mState,
            aLog,
            mClock,
            mMetrics,
            WriterSettings())
  , mKeys({ KeyPartition{ &mState, &mWriter } }, mSelf)
  , mSource(std::move(aSnapshot))
  , mTable(mPolicy, mRandom)
  , mSlots(mTable, mSource, mClock)
  , mRouter(RequestRouterOptions{ mSelf },
            RequestRouterPorts{ mSource,
                                mSlots,
                                mKeys,
                                aWorkers,
                                mClock,
                                mRandom,
                                mMetrics })
{
  mFollower.Start();
  mWriter.Start();
  mState.WaitConfirmed(MonotonicTime(), mClock.Now() + Milliseconds(2000));
}

RequestPathFake::~RequestPathFake()
{
  mWriter.Stop();
  mFollower.Stop();
}

RequestOutcome RequestPathFake::Call(const std::string& aKey,
                                     Milliseconds aLimit,
                                     bool aFirstAsk)
{
  Request request;
  request.mKind =
    aKey.empty() ? RequestKind::kIdempotent : RequestKind::kNonIdempotent;
  request.mKey = IdempotencyKey(aKey);
  request.mFirstAsk = aFirstAsk;
  request.mDeadline = mClock.Now() + aLimit;
  return mRouter.Handle(request);
}

} // namespace mulberryvalve
