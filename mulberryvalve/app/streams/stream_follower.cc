#include "mulberryvalve/app/streams/stream_follower.h"

#include <utility>

namespace mulberryvalve {

StreamFollower::StreamFollower(StreamName aStream,
                               StreamState& aState,
                               LogService& aLog,
                               const Clock& aClock,
                               RandomSource& aRandom,
                               FollowerOptions aOptions)
  : mStream(std::move(aStream))
  , mState(aState)
  , mLog(aLog)
  , mClock(aClock)
  , mRandom(aRandom)
  , mOptions(aOptions)
{
}

StreamFollower::~StreamFollower()
{
  Stop();
}

void StreamFollower::Start()
{
  mThread = std::thread([this] { Run(); });
}

void StreamFollower::Stop()
{
  mStop.Set();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void StreamFollower::Run()
{
  while (!mStop.IsSet()) {
    ReadOnce();
  }
}

void StreamFollower::ReadOnce()
{
  const MonotonicTime requestedAt = mClock.Now();
  const Result<LogPage> page = mLog.Read(
    mStream, mState.NextOffset(), mOptions.mPageRecords, mOptions.mWait);
  if (page) {
    mState.OnPage(page.value(), requestedAt);
    return;
  }
  if (page.error().mKind == FailureKind::kOffsetExpired &&
      page.error().mOldest != 0) {
    mState.OnExpired(Offset(page.error().mOldest));
    return;
  }
  mState.OnReadFailed(page.error());
  const auto jitter =
    Milliseconds(mRandom.Below(mOptions.mRetryAfter.count() + 1));
  mStop.WaitUntil(std::chrono::steady_clock::now() + mOptions.mRetryAfter +
                  jitter);
}

} // namespace mulberryvalve
