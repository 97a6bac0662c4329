#include "mulberryvalve/core/scheduler/waiting_order.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

using Queue = std::set<WaitingKey>;

// The scan from the cursor takes this fraction (1/4) of the tasks per queue.
constexpr size_t kCursorDivisor = 4;

class WaitingTaskCollector
{
public:
  WaitingTaskCollector(const ShardStateMachine& aShardState,
                       ColocationController* aColocation,
                       MonotonicTime aNow)
    : mShardState(aShardState)
    , mColocation(aColocation)
    , mNow(aNow)
  {
  }

  void Collect(Priority aPriority, size_t aMaxPerQueue)
  {
    const Queue& queue = mShardState.Waiting();
    const WaitingKey first{ aPriority, Offset(), TaskId() };
    auto at = queue.lower_bound(first);
    for (size_t taken = 0; taken < aMaxPerQueue && IsInQueue(at, aPriority);
         taken++, ++at) {
      Add(*at);
    }
    if (mColocation != nullptr && IsInQueue(at, aPriority)) {
      CollectFromCursor(aPriority, *at, aMaxPerQueue / kCursorDivisor);
    }
  }

  std::vector<WaitingTask> Sorted()
  {
    const bool agedFirst =
      mColocation != nullptr && mColocation->PreferAgedTask();
    const auto keyOf = [&](const WaitingTask& aTask) {
      return std::make_tuple(aTask.mEffectivePriority,
                             aTask.mIsAged != agedFirst,
                             aTask.mTask->mWaitingSince);
    };
    std::stable_sort(mTasks.begin(),
                     mTasks.end(),
                     [&](const WaitingTask& aLeft, const WaitingTask& aRight) {
                       return keyOf(aLeft) < keyOf(aRight);
                     });
    return std::move(mTasks);
  }

private:
  bool IsInQueue(const Queue::const_iterator& aAt, Priority aPriority) const
  {
    return aAt != mShardState.Waiting().end() &&
           std::get<Priority>(*aAt) == aPriority;
  }

  void CollectFromCursor(Priority aPriority,
                         const WaitingKey& aFirst,
                         size_t aMaxPerQueue)
  {
    WaitingKey& cursor = mColocation->QueueCursor(aPriority);
    auto at = mShardState.Waiting().lower_bound(std::max(cursor, aFirst));
    for (size_t taken = 0; taken < aMaxPerQueue && IsInQueue(at, aPriority);
         taken++, ++at) {
      Add(*at);
    }
    cursor = IsInQueue(at, aPriority) ? *at : WaitingKey{ aPriority, {}, {} };
  }

  void Add(const WaitingKey& aKey)
  {
    WaitingTask waiting;
    waiting.mTask = mShardState.FindTask(std::get<TaskId>(aKey));
    waiting.mEffectivePriority = waiting.mTask->mDemand->mPriority;
    if (mColocation != nullptr) {
      waiting.mEffectivePriority =
        mColocation->EffectivePriority(*waiting.mTask, mNow);
      waiting.mIsAged = waiting.mEffectivePriority <
                        mColocation->BasePriority(*waiting.mTask->mDemand);
    }
    mTasks.push_back(waiting);
  }

  const ShardStateMachine& mShardState;
  ColocationController* mColocation;
  MonotonicTime mNow;
  std::vector<WaitingTask> mTasks;
};

} // namespace

std::vector<WaitingTask> SelectWaitingTasks(
  const ShardStateMachine& aShardState,
  ColocationController* aColocation,
  MonotonicTime aNow,
  size_t aMaxPerQueue)
{
  WaitingTaskCollector collector(aShardState, aColocation, aNow);
  for (const auto& row : kPriorityNames.mRows) {
    collector.Collect(row.mValue, aMaxPerQueue);
  }
  return collector.Sorted();
}

} // namespace mulberryvalve
