#include "mulberryvalve/core/colocation/interference_model.h"

#include <algorithm>
#include <cmath>

namespace mulberryvalve {
namespace {

// The fraction of the prediction error that one observation corrects.
constexpr double kLearningRate = 0.15;
// The assumed weight per core of a class without observations.
constexpr double kUnseenWeight = 0.02;
// The constant feature, so that the base is learned with the weights.
constexpr double kBaseFeature = 1.0;
constexpr double kMaxSlowdown = 20.0;

} // namespace

InterferenceModel::InterferenceModel()
  : mRequestsByLoad(kLoadLevels)
  , mTasksByClass(kMaxClasses)
{
}

ClassIndex InterferenceModel::IndexOf(const TaskClass& aClass)
{
  const size_t next = std::min(mIndexes.size(), kMaxClasses - 1);
  const auto found = mIndexes.find(aClass);
  if (found != mIndexes.end()) {
    return found->second;
  }
  if (next + 1 < kMaxClasses) {
    mIndexes.emplace(aClass, static_cast<ClassIndex>(next));
  }
  return static_cast<ClassIndex>(next);
}

size_t InterferenceModel::LoadLevelOf(double aBusyShare)
{
  const double share = std::clamp(aBusyShare, 0.0, 1.0);
  return std::min(static_cast<size_t>(share * kLoadLevels), kLoadLevels - 1);
}

void InterferenceModel::ObserveRequests(double aBusyShare,
                                        double aTailRatio,
                                        const std::vector<ClassCores>& aRunning)
{
  Learn(mRequestsByLoad[LoadLevelOf(aBusyShare)], aTailRatio, aRunning);
}

void InterferenceModel::ObservePace(ClassIndex aClass,
                                    double aSlowdown,
                                    const std::vector<ClassCores>& aOthers)
{
  Learn(mTasksByClass[aClass], aSlowdown, aOthers);
}

double InterferenceModel::PredictTail(
  double aBusyShare,
  const std::vector<ClassCores>& aRunning) const
{
  double tail = BaseTail(aBusyShare);
  for (const ClassCores& task : aRunning) {
    tail += TailContribution(aBusyShare, task);
  }
  return tail;
}

double InterferenceModel::BaseTail(double aBusyShare) const
{
  return mRequestsByLoad[LoadLevelOf(aBusyShare)].mBase;
}

double InterferenceModel::TailContribution(double aBusyShare,
                                           const ClassCores& aTask) const
{
  return Contribution(mRequestsByLoad[LoadLevelOf(aBusyShare)], aTask);
}

double InterferenceModel::PredictSlowdown(ClassIndex aClass,
                                          const ClassCores& aOther) const
{
  return Contribution(mTasksByClass[aClass], aOther);
}

double InterferenceModel::TailWeight(double aBusyShare, ClassIndex aClass) const
{
  const Weight& weight =
    mRequestsByLoad[LoadLevelOf(aBusyShare)].mByClass[aClass];
  return weight.mSamples == 0 ? kUnseenWeight : weight.mValue;
}

// A normalised least-mean-squares (NLMS) step that keeps all weights
// non-negative.
void InterferenceModel::Learn(Subject& aSubject,
                              double aSlowdown,
                              const std::vector<ClassCores>& aRunning)
{
  const double slowdown = std::clamp(aSlowdown, 0.0, kMaxSlowdown);
  double expected = aSubject.mBase;
  double inputPower = kBaseFeature;
  for (const ClassCores& task : aRunning) {
    expected += aSubject.mByClass[task.mClass].mValue * task.mCores;
    inputPower += task.mCores * task.mCores;
  }
  const double step = kLearningRate * (slowdown - expected) / inputPower;
  aSubject.mBase = std::max(0.0, aSubject.mBase + step * kBaseFeature);
  aSubject.mSamples++;
  for (const ClassCores& task : aRunning) {
    Weight& weight = aSubject.mByClass[task.mClass];
    weight.mValue = std::max(0.0, weight.mValue + step * task.mCores);
    weight.mSamples++;
  }
}

double InterferenceModel::Contribution(const Subject& aSubject,
                                       const ClassCores& aTask)
{
  const Weight& weight = aSubject.mByClass[aTask.mClass];
  const double uncertainty = kUnseenWeight / std::sqrt(1.0 + weight.mSamples);
  return (weight.mValue + uncertainty) * aTask.mCores;
}

} // namespace mulberryvalve
