#include "mulberryvalve/core/jobs/job_placement.h"

#include <algorithm>
#include <vector>

namespace mulberryvalve {
namespace {

// Costs are in hundredths of a worker's use; the lowest wins. Data on another
// rack makes a task several times as long, which weighs more than any use.
constexpr int64_t kFarFromData = 1000;
// A pressure that raises the load of a service by a tenth weighs like this much
// of a worker's use.
constexpr double kCostOfPressure = 300;
// A first serving task on a worker, and one of another image than those there.
constexpr int64_t kCostOfOpening = 100;
constexpr int64_t kCostOfMixing = 150;
// The worker that failed a task may be at fault; this is more than any use.
constexpr int64_t kCostOfFailure = 500;
// Services are at the top of their load for a short part of the time, and what
// fills is paced then: more is let in than is borne at the top.
constexpr double kBearableTimes = 2.0;
constexpr double kLeastPressure = 0.1;
// One task alone that presses this hard had better work elsewhere.
constexpr double kHeavyPressure = 0.25;
// Hundredths of a tail's target, and of the full pace, from which on nothing
// that fills is added.
constexpr int kRatioNear = 105;
constexpr int kPaceToAdd = 40;

bool HasLabel(const WorkerFacts& aFacts, const WorkerLabel& aLabel)
{
  return aLabel.Empty() ||
         std::find(aFacts.mLabels.begin(), aFacts.mLabels.end(), aLabel) !=
           aFacts.mLabels.end();
}

// What serving tasks leave of their share, in hundredths; a worker's tasks that
// fill get it.
constexpr int64_t kServingUsesPercent = 42;
constexpr int64_t kPercent = 100;

// The pressure on the serving image that feels most of what fills a worker,
// with aMore of aImage added.
double WorstPressure(const InterferenceBook& aBook,
                     const WorkerRoom& aWorker,
                     ImageNumber aImage,
                     int64_t aMore)
{
  double worst = 0;
  const std::vector<FillingShare> filling =
    aWorker.Filling(kFullPace, aImage, aMore);
  for (const auto& [serving, count] : aWorker.mServingImages) {
    worst = std::max(worst, aBook.Pressure(serving, filling));
  }
  return worst;
}

// The pressure that a step's task meets or makes on a worker.
double PressureWith(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  const StepSpec& step = aQuery.mStep;
  if (step.mFills) {
    return aWorker.mServing == 0 ? 0
                                 : WorstPressure(aQuery.mInterference,
                                                 aWorker,
                                                 step.mImageNumber,
                                                 step.mDemand.mCpuMillis);
  }
  if (step.mTailTarget.count() > 0 && aWorker.mFilling > 0) {
    return aQuery.mInterference.Pressure(step.mImageNumber,
                                         aWorker.Filling(kFullPace, 0, 0));
  }
  return 0;
}

// The fewer images serve on a worker, the more images that fill disturb none of
// them.
int64_t CostOfCompany(const StepSpec& aStep, const WorkerRoom& aWorker)
{
  if (aWorker.mServingImages.count(aStep.mImageNumber) != 0) {
    return 0;
  }
  return aWorker.mServingImages.empty() ? kCostOfOpening : kCostOfMixing;
}

int64_t CostOf(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  const StepSpec& step = aQuery.mStep;
  const int64_t used = step.mLasting
                         ? aWorker.CpuCapacity() - aWorker.mCharged.mCpuMillis
                         : UsedOf(aWorker);
  const bool far =
    !step.mDataRack.Empty() && step.mDataRack != aWorker.mFacts.mRack;
  const double pressure = PressureWith(aQuery, aWorker);
  const int64_t company = step.mLasting ? CostOfCompany(step, aWorker) : 0;
  return company + used * kPercent / aWorker.CpuCapacity() +
         (far ? kFarFromData : 0) +
         (aWorker.mFacts.mId == aQuery.mFailedAt ? kCostOfFailure : 0) +
         static_cast<int64_t>(pressure * kCostOfPressure);
}

// Tells whether a task that fills would press too hard on a service, by itself
// or with what is there, or comes where a tail is near its target already.
bool PressesTooMuch(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  if (aWorker.mPace.mRatioPercent >= kRatioNear ||
      aWorker.mPace.mPercent < kPaceToAdd) {
    return true;
  }
  if (aQuery.mHasWaited) {
    return false;
  }
  const StepSpec& step = aQuery.mStep;
  const double share = static_cast<double>(step.mDemand.mCpuMillis) /
                       static_cast<double>(aWorker.CpuCapacity());
  for (const auto& [serving, count] : aWorker.mServingImages) {
    const double weight =
      aQuery.mInterference.Weight(serving, step.mImageNumber);
    if (weight * share >= kHeavyPressure) {
      return true;
    }
  }
  return PressureWith(aQuery, aWorker) >
         kBearableTimes * aWorker.mBearablePressure + kLeastPressure;
}

// A task that fills is not added where it would get nothing, or where tasks
// that serve would miss their target.
bool IsUseless(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  const StepSpec& step = aQuery.mStep;
  if (!step.mFills) {
    return false;
  }
  if (aWorker.mServing > 0 && PressesTooMuch(aQuery, aWorker)) {
    return true;
  }
  return UsedOf(aWorker) + step.mDemand.mCpuMillis > aWorker.CpuCapacity();
}

} // namespace

int64_t UsedOf(const WorkerRoom& aWorker)
{
  const int64_t idle =
    aWorker.mServingCpu * (kPercent - kServingUsesPercent) / kPercent;
  return aWorker.mCharged.mCpuMillis + aWorker.mForeign.mCpuMillis - idle +
         aWorker.mFillingDemand.mCpuMillis;
}

PlacementRefusal OpenRefusal(const PlacementQuery& aQuery,
                             const WorkerRoom& aWorker)
{
  const WorkerFacts& facts = aWorker.mFacts;
  if (!aWorker.mListed || facts.mState != WorkerState::kLive) {
    return PlacementRefusal::kLeaving;
  }
  if (!aWorker.mInventoried || aWorker.mSilent || !aWorker.mRecorded ||
      aWorker.mNoted || aWorker.mForeignUnknown) {
    return PlacementRefusal::kUnsure;
  }
  if (aQuery.mNow < aWorker.mAvoidUntil) {
    return PlacementRefusal::kAvoided;
  }
  if (aQuery.mDomainsOut.count(facts.mDomain) != 0) {
    return PlacementRefusal::kDomainOut;
  }
  if (facts.mService != aQuery.mService ||
      !HasLabel(facts, aQuery.mStep.mRequiredLabel) ||
      (!aQuery.mOnlyRack.Empty() && facts.mRack != aQuery.mOnlyRack)) {
    return PlacementRefusal::kUnsuited;
  }
  if (aQuery.mStep.mMaxPerWorker > 0) {
    const auto siblings = aQuery.mSiblings.find(facts.mId);
    if (siblings != aQuery.mSiblings.end() &&
        siblings->second >= aQuery.mStep.mMaxPerWorker) {
      return PlacementRefusal::kSiblings;
    }
  }
  if (!aQuery.mStep.mLasting && aQuery.mNow < aWorker.mKeptForLastingUntil) {
    return PlacementRefusal::kNoRoom;
  }
  return PlacementRefusal::kNone;
}

bool IsOpenTo(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  return OpenRefusal(aQuery, aWorker) == PlacementRefusal::kNone;
}

PlacementRefusal RefusalOf(const PlacementQuery& aQuery,
                           const WorkerRoom& aWorker)
{
  const PlacementRefusal open = OpenRefusal(aQuery, aWorker);
  if (open != PlacementRefusal::kNone) {
    return open;
  }
  if (!MayPlace(aQuery, aWorker)) {
    return PlacementRefusal::kNoRoom;
  }
  if (!IsUseless(aQuery, aWorker)) {
    return PlacementRefusal::kNone;
  }
  const bool pressed = aWorker.mServing > 0 && PressesTooMuch(aQuery, aWorker);
  return pressed ? PlacementRefusal::kPressure : PlacementRefusal::kAllUsed;
}

bool MayPlace(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  return IsOpenTo(aQuery, aWorker) &&
         aQuery.mStep.Committed().FitsIn(aWorker.Room());
}

bool MayPlaceWithoutFilling(const PlacementQuery& aQuery,
                            const WorkerRoom& aWorker)
{
  Resources given = aWorker.mFillingDemand;
  given.mCpuMillis = 0;
  return IsOpenTo(aQuery, aWorker) &&
         aQuery.mStep.mDemand.FitsIn(aWorker.Room() + given);
}

std::optional<int64_t> LearnedPlacement::CostOn(const PlacementQuery& aQuery,
                                                const WorkerRoom& aWorker) const
{
  if (!MayPlace(aQuery, aWorker) || IsUseless(aQuery, aWorker)) {
    return std::nullopt;
  }
  return CostOf(aQuery, aWorker);
}

} // namespace mulberryvalve
