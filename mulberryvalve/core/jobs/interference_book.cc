#include "mulberryvalve/core/jobs/interference_book.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// The weight of a pair that was not seen yet: that of most pairs.
constexpr double kUnseenWeight = 0.8;
// How much of an error an observation mends: the first, and any of many.
constexpr double kFirstRate = 0.4;
constexpr double kLeastRate = 0.08;
constexpr double kObservationsToHalve = 4;
// Excesses beyond this say no more than that the pressure is heavy.
constexpr double kMostExcess = 2.0;
constexpr double kMostWeight = 20.0;
// The load at which a service shows its least tail: services are never idle.
constexpr double kLeastLoad = 0.2;
constexpr double kLeastShare = 0.02;

} // namespace

double InterferenceBook::LoadOf(ImageNumber aServing, int64_t aTail)
{
  int64_t& least = mLeastTails.try_emplace(aServing, aTail).first->second;
  least = std::min(least, aTail);
  const double idleTail = static_cast<double>(least) * (1 - kLeastLoad);
  return 1 - idleTail / static_cast<double>(aTail);
}

double InterferenceBook::LimitOf(ImageNumber aServing, int64_t aTarget) const
{
  const auto least = mLeastTails.find(aServing);
  if (least == mLeastTails.end()) {
    return 1;
  }
  const double idleTail = static_cast<double>(least->second) * (1 - kLeastLoad);
  return 1 - idleTail / static_cast<double>(aTarget);
}

void InterferenceBook::Learn(ImageNumber aServing,
                             double aExcess,
                             const std::vector<FillingShare>& aFilling)
{
  double squares = 0;
  for (const FillingShare& filling : aFilling) {
    squares += filling.mShare * filling.mShare;
  }
  if (squares < kLeastShare * kLeastShare) {
    return;
  }
  mVersion++;
  const double excess = std::clamp(aExcess, 0.0, kMostExcess);
  const double expected = std::min(kMostExcess, Pressure(aServing, aFilling));
  const double error = (excess - expected) / squares;
  for (const FillingShare& filling : aFilling) {
    PairWeight& pair = PairAt(aServing, filling.mImage);
    const double rate = std::max(
      kLeastRate, kFirstRate / (1 + pair.mObservations / kObservationsToHalve));
    pair.mWeight = std::clamp(
      pair.mWeight + rate * error * filling.mShare, 0.0, kMostWeight);
    pair.mObservations += filling.mShare >= kLeastShare ? 1 : 0;
  }
}

double InterferenceBook::Weight(ImageNumber aServing,
                                ImageNumber aFilling) const
{
  if (aServing >= mPairs.size() || aFilling >= mPairs[aServing].size()) {
    return kUnseenWeight;
  }
  return mPairs[aServing][aFilling].mWeight;
}

InterferenceBook::PairWeight& InterferenceBook::PairAt(ImageNumber aServing,
                                                       ImageNumber aFilling)
{
  if (aServing >= mPairs.size()) {
    mPairs.resize(aServing + 1);
  }
  std::vector<PairWeight>& row = mPairs[aServing];
  if (aFilling >= row.size()) {
    row.resize(aFilling + 1, PairWeight{ kUnseenWeight, 0 });
  }
  return row[aFilling];
}

double InterferenceBook::Pressure(
  ImageNumber aServing,
  const std::vector<FillingShare>& aFilling) const
{
  double pressure = 0;
  for (const FillingShare& filling : aFilling) {
    pressure += filling.mShare * Weight(aServing, filling.mImage);
  }
  return pressure;
}

void InterferenceBook::Save(const ImageTable& aImages,
                            LearnedRecord& aRecord) const
{
  for (ImageNumber serving = 0; serving < mPairs.size(); serving++) {
    for (ImageNumber filling = 0; filling < mPairs[serving].size(); filling++) {
      const PairWeight& pair = mPairs[serving][filling];
      if (pair.mObservations > 0) {
        aRecord.mPairs.push_back(LearnedPair{ aImages.NameOf(serving),
                                              aImages.NameOf(filling),
                                              pair.mWeight,
                                              pair.mObservations });
      }
    }
  }
  for (const auto& [serving, tail] : mLeastTails) {
    aRecord.mTails.push_back(LearnedTail{ aImages.NameOf(serving), tail });
  }
}

void InterferenceBook::Restore(const LearnedRecord& aRecord,
                               ImageTable& aImages)
{
  mVersion++;
  for (const LearnedPair& pair : aRecord.mPairs) {
    PairAt(aImages.NumberOf(pair.mServing), aImages.NumberOf(pair.mFilling)) =
      PairWeight{ pair.mWeight, pair.mObservations };
  }
  for (const LearnedTail& tail : aRecord.mTails) {
    mLeastTails[aImages.NumberOf(tail.mServing)] = tail.mLeastTail;
  }
}

} // namespace mulberryvalve
