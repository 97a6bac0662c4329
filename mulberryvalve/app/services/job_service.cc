#include "mulberryvalve/app/services/job_service.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxNameBytes = 100;
constexpr size_t kMaxExplanations = 100;

bool IsValidName(const std::string& aName)
{
  if (aName.empty() || aName.size() > kMaxNameBytes) {
    return false;
  }
  for (const char c : aName) {
    const bool valid = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '_';
    if (!valid) {
      return false;
    }
  }
  return true;
}

} // namespace

JobService::JobService(JobServiceOptions aOptions,
                       std::map<ShardId, ShardStream> aStreams,
                       const ShardMap& aShards,
                       const Clock& aClock,
                       ExplainTask aExplain)
  : mOptions(std::move(aOptions))
  , mStreams(std::move(aStreams))
  , mShards(aShards)
  , mClock(aClock)
  , mExplain(std::move(aExplain))
{
}

Result<JobReceipt> JobService::Submit(const JobSubmission& aSubmission)
{
  JobSubmission submission = aSubmission;
  if (submission.mName.empty()) {
    submission.mName = mOptions.mSelf.mInstance.Text() + "-" +
                       std::to_string(mOptions.mSelf.mIncarnation.Value()) +
                       "-" + std::to_string(mNextName++);
    submission.mPinnedDomain = submission.mPinnedDomain.Empty()
                                 ? mOptions.mDomain
                                 : submission.mPinnedDomain;
  }
  if (!IsValidName(submission.mName)) {
    return Fail(FailureKind::kInvalidInput,
                "name",
                "at most 100 letters, digits, '-' and '_'");
  }
  if (!submission.mPinnedDomain.Empty() &&
      !mShards.HasDomain(submission.mPinnedDomain)) {
    return Fail(FailureKind::kInvalidInput, "home", "no such failure domain");
  }
  const ShardId shard =
    submission.mPinnedDomain.Empty()
      ? mShards.ShardOfName(submission.mName)
      : mShards.ShardOfNameIn(submission.mName, submission.mPinnedDomain);
  const ShardStream& stream = mStreams.at(shard);
  JobReceipt receipt;
  receipt.mJob = JobId(shard.Text() + "." + submission.mName);
  receipt.mShard = shard;
  receipt.mExisted = stream.mState->Read([&](const ShardStateMachine& aState) {
    return aState.FindJob(receipt.mJob) != nullptr;
  });
  if (receipt.mExisted) {
    return receipt;
  }
  if (!stream.mState->Reachable()) {
    return Fail(FailureKind::kLogUnavailable, "platform", "job was not taken");
  }
  JobSpec spec{ receipt.mJob, submission.mDemand, submission.mParts };
  const Result<Offset> at =
    stream.mWriter->AppendFolded({ JobSubmitted{ std::move(spec) } },
                                 Epoch(),
                                 mClock.Now() + mOptions.mAppendTimeout);
  if (!at) {
    return at.error();
  }
  receipt.mOffset = at.value();
  return receipt;
}

Result<ShardStream> JobService::StreamOf(const JobId& aJob) const
{
  const auto shard = mShards.ShardOfJob(aJob);
  if (!shard) {
    return Fail(FailureKind::kNotFound, "job", aJob.Text());
  }
  return mStreams.at(*shard);
}

Result<void> JobService::Cancel(const JobId& aJob, const OperatorId& aOperator)
{
  const Result<JobView> view = Status(aJob);
  if (!view) {
    return view.error();
  }
  std::set<ShardId> shards{ *mShards.ShardOfJob(aJob) };
  for (const TaskEntry& task : view.value().mTasks) {
    if (!task.mTarget.Empty()) {
      shards.insert(task.mTarget);
    }
  }
  for (const auto& [shard, stream] : mStreams) {
    const bool known =
      stream.mState->Read([&](const ShardStateMachine& aState) {
        return aState.FindJob(aJob) != nullptr;
      });
    if (!known && shards.count(shard) == 0) {
      continue;
    }
    if (!stream.mState->Reachable()) {
      return Fail(FailureKind::kLogUnavailable, "platform");
    }
    const Result<Offset> at =
      stream.mWriter->AppendFolded({ JobCancelRequested{ aJob, aOperator } },
                                   Epoch(),
                                   mClock.Now() + mOptions.mAppendTimeout);
    if (!at) {
      return at.error();
    }
  }
  return Done();
}

TaskEntry JobService::FollowHandovers(const TaskEntry& aTask) const
{
  TaskEntry newest = aTask;
  while (newest.mState == TaskState::kHandedOver) {
    const auto stream = mStreams.find(newest.mTarget);
    if (stream == mStreams.end()) {
      return newest;
    }
    const auto next = stream->second.mState->Read(
      [&](const ShardStateMachine& aState) -> std::optional<TaskEntry> {
        const TaskEntry* task = aState.FindTask(newest.mId);
        return task == nullptr ? std::nullopt : std::optional<TaskEntry>(*task);
      });
    if (!next || next->mHandover <= newest.mHandover) {
      return newest;
    }
    std::vector<TaskChange> history = newest.mHistory;
    history.insert(history.end(), next->mHistory.begin(), next->mHistory.end());
    newest = *next;
    newest.mHistory = std::move(history);
  }
  return newest;
}

JobView JobService::ViewOf(const ShardStateMachine& aState,
                           const JobEntry& aJob) const
{
  JobView view;
  view.mSpec = aJob.mSpec;
  view.mCancelRequested = aJob.mCancelRequested;
  for (const TaskId& id : aJob.mTasks) {
    const TaskEntry* task = aState.FindTask(id);
    if (task != nullptr) {
      view.mTasks.push_back(*task);
    }
  }
  return view;
}

Result<JobView> JobService::Status(const JobId& aJob)
{
  const Result<ShardStream> stream = StreamOf(aJob);
  if (!stream) {
    return stream.error();
  }
  auto view = stream.value().mState->Read(
    [&](const ShardStateMachine& aState) -> std::optional<JobView> {
      const JobEntry* job = aState.FindJob(aJob);
      return job == nullptr ? std::nullopt
                            : std::optional<JobView>(ViewOf(aState, *job));
    });
  if (!view) {
    return Fail(FailureKind::kNotFound, "job", aJob.Text());
  }
  for (TaskEntry& task : view->mTasks) {
    task = FollowHandovers(task);
  }
  Explain(*view);
  return *view;
}

void JobService::Explain(JobView& aView) const
{
  aView.mAt = mClock.Now();
  for (const TaskEntry& task : aView.mTasks) {
    if (aView.mExplanations.size() >= kMaxExplanations) {
      return;
    }
    Explanation explanation = mExplain(task.mId);
    if (!explanation.mDecisions.empty()) {
      aView.mExplanations.push_back(std::move(explanation));
    }
  }
}

std::vector<JobView> JobService::List(size_t aLimit)
{
  std::vector<JobView> views;
  for (const auto& [shard, stream] : mStreams) {
    stream.mState->Read([&](const ShardStateMachine& aState) {
      for (const auto& [id, job] : aState.Jobs()) {
        if (views.size() >= aLimit) {
          break;
        }
        if (mShards.ShardOfJob(id) == aState.Shard()) {
          views.push_back(ViewOf(aState, job));
        }
      }
      return true;
    });
  }
  for (JobView& view : views) {
    for (TaskEntry& task : view.mTasks) {
      task = FollowHandovers(task);
    }
  }
  return views;
}

} // namespace mulberryvalve
