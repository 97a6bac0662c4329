#include "mulberryvalve/core/jobs/interference_estimator.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// The weight of a pair without observations; most pairs have about this weight.
constexpr double kDefaultWeight = 0.8;
// The fraction of an error that one observation corrects: the first one, and
// the lower bound after many.
constexpr double kInitialLearningRate = 0.4;
constexpr double kMinLearningRate = 0.08;
constexpr double kObservationsToHalve = 4;
// A larger excess only shows that the pressure is heavy, not how heavy.
constexpr double kMaxExcess = 2.0;
constexpr double kMaxWeight = 20.0;
// The load assumed at the lowest observed tail latency: services are never
// idle.
constexpr double kLoadAtMinTail = 0.2;
constexpr double kMinShare = 0.02;

} // namespace

double InterferenceEstimator::LoadFromTail(ImageNumber aServing, int64_t aTail)
{
  int64_t& minTail = mMinTails.try_emplace(aServing, aTail).first->second;
  minTail = std::min(minTail, aTail);
  const double idleTail = static_cast<double>(minTail) * (1 - kLoadAtMinTail);
  return 1 - idleTail / static_cast<double>(aTail);
}

double InterferenceEstimator::LoadLimit(ImageNumber aServing,
                                        int64_t aTarget) const
{
  const auto minTail = mMinTails.find(aServing);
  if (minTail == mMinTails.end()) {
    return 1;
  }
  const double idleTail =
    static_cast<double>(minTail->second) * (1 - kLoadAtMinTail);
  return 1 - idleTail / static_cast<double>(aTarget);
}

void InterferenceEstimator::Learn(
  ImageNumber aServing,
  double aExcess,
  const std::vector<BestEffortShare>& aBestEffort)
{
  double sumOfSquares = 0;
  for (const BestEffortShare& bestEffort : aBestEffort) {
    sumOfSquares += bestEffort.mShare * bestEffort.mShare;
  }
  if (sumOfSquares < kMinShare * kMinShare) {
    return;
  }
  mVersion++;
  const double excess = std::clamp(aExcess, 0.0, kMaxExcess);
  const double expected = std::min(kMaxExcess, Pressure(aServing, aBestEffort));
  const double error = (excess - expected) / sumOfSquares;
  for (const BestEffortShare& bestEffort : aBestEffort) {
    PairWeight& pair = PairAt(aServing, bestEffort.mImage);
    const double rate = std::max(
      kMinLearningRate,
      kInitialLearningRate / (1 + pair.mObservations / kObservationsToHalve));
    pair.mWeight = std::clamp(
      pair.mWeight + rate * error * bestEffort.mShare, 0.0, kMaxWeight);
    pair.mObservations += bestEffort.mShare >= kMinShare ? 1 : 0;
  }
}

double InterferenceEstimator::Weight(ImageNumber aServing,
                                     ImageNumber aBestEffort) const
{
  if (aServing >= mPairs.size() || aBestEffort >= mPairs[aServing].size()) {
    return kDefaultWeight;
  }
  return mPairs[aServing][aBestEffort].mWeight;
}

InterferenceEstimator::PairWeight& InterferenceEstimator::PairAt(
  ImageNumber aServing,
  ImageNumber aBestEffort)
{
  if (aServing >= mPairs.size()) {
    mPairs.resize(aServing + 1);
  }
  std::vector<PairWeight>& row = mPairs[aServing];
  if (aBestEffort >= row.size()) {
    row.resize(aBestEffort + 1, PairWeight{ kDefaultWeight, 0 });
  }
  return row[aBestEffort];
}

double InterferenceEstimator::Pressure(
  ImageNumber aServing,
  const std::vector<BestEffortShare>& aBestEffort) const
{
  double pressure = 0;
  for (const BestEffortShare& bestEffort : aBestEffort) {
    pressure += bestEffort.mShare * Weight(aServing, bestEffort.mImage);
  }
  return pressure;
}

void InterferenceEstimator::Save(const ImageTable& aImages,
                                 LearnedRecord& aRecord) const
{
  for (ImageNumber serving = 0; serving < mPairs.size(); serving++) {
    for (ImageNumber bestEffort = 0; bestEffort < mPairs[serving].size();
         bestEffort++) {
      const PairWeight& pair = mPairs[serving][bestEffort];
      if (pair.mObservations > 0) {
        aRecord.mPairs.push_back(
          LearnedInterference{ aImages.NameOf(serving),
                               aImages.NameOf(bestEffort),
                               pair.mWeight,
                               pair.mObservations });
      }
    }
  }
  for (const auto& [serving, tail] : mMinTails) {
    aRecord.mTails.push_back(LearnedMinTail{ aImages.NameOf(serving), tail });
  }
}

void InterferenceEstimator::Restore(const LearnedRecord& aRecord,
                                    ImageTable& aImages)
{
  mVersion++;
  for (const LearnedInterference& pair : aRecord.mPairs) {
    const ImageNumber serving = aImages.NumberOf(pair.mServingImage);
    const ImageNumber bestEffort = aImages.NumberOf(pair.mBestEffortImage);
    PairAt(serving, bestEffort) =
      PairWeight{ pair.mWeight, pair.mObservations };
  }
  for (const LearnedMinTail& tail : aRecord.mTails) {
    mMinTails[aImages.NumberOf(tail.mServingImage)] = tail.mMinTail;
  }
}

} // namespace mulberryvalve
