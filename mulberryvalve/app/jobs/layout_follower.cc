#include "mulberryvalve/app/jobs/layout_follower.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Read interval until the layout is settled, and after a failure.
constexpr Milliseconds kShortInterval{ 250 };
// Read interval once the layout is settled: larger instances are added rarely.
constexpr Milliseconds kLongInterval{ 10000 };
// Instances that start together have published their processors within this
// time.
constexpr Milliseconds kSettleTime{ 800 };

} // namespace

LayoutFollower::LayoutFollower(MilliCores aProcessor,
                               LayoutView& aView,
                               LayoutPorts aPorts)
  : mProcessor(aProcessor)
  , mView(aView)
  , mPorts(aPorts)
  , mCursor(aPorts.mLog, TopicPartition{ KeyedTopic::kLayout, 0 }, std::nullopt)
{
}

LayoutFollower::~LayoutFollower()
{
  Stop();
}

void LayoutFollower::Start()
{
  mThread = std::thread([this] { Run(); });
}

void LayoutFollower::BeginStop()
{
  mStop.Set();
}

void LayoutFollower::Stop()
{
  BeginStop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void LayoutFollower::Run()
{
  bool isReachable = true;
  while (!mStop.IsSet()) {
    const Result<void> changed = ReadChanges();
    if (!changed && isReachable) {
      mPorts.mEvents.Write(
        EventLevel::kWarn,
        "layout_not_followed",
        { { "kind",
            std::string(kFailureKindNames.Name(changed.error().mKind)) },
          { "detail", changed.error().mDetail } });
    }
    isReachable = changed.has_value();
    const bool isQuiet = isReachable && IsSettled();
    mStop.WaitUntil(Steady::now() + (isQuiet ? kLongInterval : kShortInterval));
  }
}

Result<void> LayoutFollower::ReadChanges()
{
  const Result<KeyedChanges> changes = mCursor.Next(Milliseconds(0));
  if (!changes) {
    return changes.error();
  }
  for (const KeyedEntry& entry : changes.value().mEntries) {
    ApplyEntry(entry);
  }
  if (mProcessor > mLayout.mLargestCpu) {
    return PublishOwn();
  }
  if (IsSettled()) {
    mView.Put(mLayout);
  }
  return Done();
}

void LayoutFollower::ApplyEntry(const KeyedEntry& aEntry)
{
  const Result<CpuCapacityRecord> note = mPorts.mCodec.DecodeLayout(aEntry);
  if (!note) {
    mPorts.mEvents.Write(
      EventLevel::kWarn, "layout_refused", { { "key", aEntry.mKey } });
    return;
  }
  mLayout.mLargestCpu = std::max(mLayout.mLargestCpu, note.value().mProcessor);
}

// Each processor size has a key of its own, so a smaller one can't overwrite a
// larger one.
Result<void> LayoutFollower::PublishOwn()
{
  const Result<void> published = mPorts.mLog.Append(
    TopicPartition{ KeyedTopic::kLayout, 0 },
    { mPorts.mCodec.Encode(CpuCapacityRecord{ mProcessor }) });
  if (!published) {
    return published.error();
  }
  mLayout.mLargestCpu = mProcessor;
  mPublishedAt = mPorts.mClock.Now();
  return Done();
}

// An instance that was the largest so far waits for those that start at the
// same time.
bool LayoutFollower::IsSettled() const
{
  return !mPublishedAt || mPorts.mClock.Now() >= *mPublishedAt + kSettleTime;
}

} // namespace mulberryvalve
