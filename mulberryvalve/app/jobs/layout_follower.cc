#include "mulberryvalve/app/jobs/layout_follower.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Between reads until the layout is settled, and after a failure.
constexpr Milliseconds kSoon{ 250 };
// Between reads afterwards: larger instances are added seldom.
constexpr Milliseconds kSeldom{ 10000 };
// Instances that start together have noted their processors within this.
constexpr Milliseconds kStartSpread{ 800 };

} // namespace

LayoutFollower::LayoutFollower(MilliCores aProcessor,
                               LayoutView& aView,
                               LayoutPorts aPorts)
  : mProcessor(aProcessor)
  , mView(aView)
  , mPorts(aPorts)
  , mCursor(aPorts.mLog, KeyedPlace{ KeyedTopic::kLayout, 0 }, std::nullopt)
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
  bool reached = true;
  while (!mStop.IsSet()) {
    const Result<void> followed = Follow();
    if (!followed && reached) {
      mPorts.mEvents.Write(
        EventLevel::kWarn,
        "layout_not_followed",
        { { "kind",
            std::string(kFailureKindNames.Name(followed.error().mKind)) },
          { "detail", followed.error().mDetail } });
    }
    reached = followed.has_value();
    const bool isCalm = reached && IsSettled();
    mStop.WaitUntil(Steady::now() + (isCalm ? kSeldom : kSoon));
  }
}

Result<void> LayoutFollower::Follow()
{
  const Result<KeyedChanges> changes = mCursor.Next(Milliseconds(0));
  if (!changes) {
    return changes.error();
  }
  for (const KeyedEntry& entry : changes.value().mEntries) {
    Take(entry);
  }
  if (mProcessor > mLayout.mLargestProcessor) {
    return NoteOwn();
  }
  if (IsSettled()) {
    mView.Put(mLayout);
  }
  return Done();
}

void LayoutFollower::Take(const KeyedEntry& aEntry)
{
  const Result<ProcessorNote> note = mPorts.mCodec.DecodeLayout(aEntry);
  if (!note) {
    mPorts.mEvents.Write(
      EventLevel::kWarn, "layout_refused", { { "key", aEntry.mKey } });
    return;
  }
  mLayout.mLargestProcessor =
    std::max(mLayout.mLargestProcessor, note.value().mProcessor);
}

// Each size has a record of its own, so a smaller one hides no larger one.
Result<void> LayoutFollower::NoteOwn()
{
  const Result<void> noted =
    mPorts.mLog.Append(KeyedPlace{ KeyedTopic::kLayout, 0 },
                       { mPorts.mCodec.Encode(ProcessorNote{ mProcessor }) });
  if (!noted) {
    return noted.error();
  }
  mLayout.mLargestProcessor = mProcessor;
  mNotedAt = mPorts.mClock.Now();
  return Done();
}

// Whoever was the largest so far waits for those that start with it.
bool LayoutFollower::IsSettled() const
{
  return !mNotedAt || mPorts.mClock.Now() >= *mNotedAt + kStartSpread;
}

} // namespace mulberryvalve
