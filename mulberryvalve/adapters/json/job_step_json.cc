#include "mulberryvalve/adapters/json/job_step_json.h"

#include "mulberryvalve/adapters/json/json_fields.h"

namespace mulberryvalve {
namespace {

using nlohmann::json;

// Reads the dependencies of step aIndex, which must be earlier steps.
void ReadDependencies(JsonReader& aReader, size_t aIndex, StepSpec& aStep)
{
  for (const json& dependency : aReader.Array("depends_on", kMaxJobSteps)) {
    if (!dependency.is_number_unsigned() ||
        dependency.get<uint64_t>() >= aIndex) {
      aReader.RecordFault(
        Fail(FailureKind::kInvalidInput, "depends_on", "no earlier step"));
      return;
    }
    aStep.mDependsOn.push_back(dependency.get<uint32_t>());
  }
}

} // namespace

nlohmann::json StepToJson(const StepSpec& aStep)
{
  json step{ { "count", aStep.mCount } };
  PutNumber(step, "cpu_millis", aStep.mDemand.mCpuMillis);
  PutNumber(step, "memory_mb", aStep.mDemand.mMemoryMb);
  PutNumber(step, "accelerators", aStep.mDemand.mAccelerators);
  PutNumber(step, "estimate_ms", aStep.mEstimate.count());
  if (!aStep.mDependsOn.empty()) {
    step["depends_on"] = aStep.mDependsOn;
  }
  PutFlag(step, "checkpoints", aStep.mCheckpointing);
  PutFlag(step, "together", aStep.mGang);
  PutFlag(step, "one_rack", aStep.mSameRack);
  PutFlag(step, "copies", aStep.mSpeculative);
  PutFlag(step, "lasting", aStep.mLongRunning);
  PutFlag(step, "leftover_cpu", aStep.mBestEffort);
  PutText(step, "label", aStep.mRequiredLabel.Text());
  PutText(step, "rack_of_data", aStep.mDataRack.Text());
  PutNumber(step, "most_per_worker", aStep.mMaxPerWorker);
  PutText(step, "task_image", aStep.mImage.Text());
  PutNumber(step, "tail_target_ms", aStep.mTailLatencyTarget.count());
  PutNumber(step, "may_be_away", aStep.mMaxUnavailable);
  return step;
}

StepSpec StepFromJson(JsonReader& aReader, size_t aIndex)
{
  StepSpec step;
  step.mCount = static_cast<uint32_t>(aReader.Number("count", 1, kMaxJobCount));
  step.mDemand.mCpuMillis = aReader.NumberOr("cpu_millis", 0);
  step.mDemand.mMemoryMb = aReader.NumberOr("memory_mb", 0);
  step.mDemand.mAccelerators = aReader.NumberOr("accelerators", 0);
  step.mEstimate = Milliseconds(aReader.NumberOr("estimate_ms", 0));
  if (aReader.Has("depends_on")) {
    ReadDependencies(aReader, aIndex, step);
  }
  step.mCheckpointing = aReader.FlagOr("checkpoints", false);
  step.mGang = aReader.FlagOr("together", false);
  step.mSameRack = aReader.FlagOr("one_rack", false);
  step.mSpeculative = aReader.FlagOr("copies", false);
  step.mLongRunning = aReader.FlagOr("lasting", false);
  step.mBestEffort = aReader.FlagOr("leftover_cpu", false);
  step.mRequiredLabel = WorkerLabel(aReader.TextOr("label", ""));
  step.mDataRack = RackId(aReader.TextOr("rack_of_data", ""));
  step.mMaxPerWorker = static_cast<uint32_t>(
    aReader.NumberOr("most_per_worker", 0, 0, kMaxJobCount));
  step.mImage = ImageId(aReader.TextOr("task_image", ""));
  step.mTailLatencyTarget = Milliseconds(aReader.NumberOr("tail_target_ms", 0));
  step.mMaxUnavailable =
    static_cast<uint32_t>(aReader.NumberOr("may_be_away", 0, 0, kMaxJobCount));
  return step;
}

} // namespace mulberryvalve
