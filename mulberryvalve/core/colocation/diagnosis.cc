#include "mulberryvalve/core/colocation/diagnosis.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kNearestWorkers = 3;

PlacementConstraint FirstInsufficientResource(const Resources& aDemand,
                                              const Resources& aRoom)
{
  if (aDemand.mAccelerators > aRoom.mAccelerators) {
    return PlacementConstraint::kAccelerators;
  }
  if (aDemand.mMemoryMb > aRoom.mMemoryMb) {
    return PlacementConstraint::kMemory;
  }
  return aDemand.mCpuMillis > aRoom.mCpuMillis ? PlacementConstraint::kProcessor
                                               : PlacementConstraint::kNone;
}

// How much aRoom lacks for aDemand: the sum over all resources of the missing
// amount relative to the demand.
double Shortfall(const Resources& aDemand, const Resources& aRoom)
{
  const auto missingShare = [](int64_t aNeed, int64_t aHave) {
    return aNeed <= aHave || aNeed == 0 ? 0.0
                                        : double(aNeed - aHave) / double(aNeed);
  };
  return missingShare(aDemand.mCpuMillis, aRoom.mCpuMillis) +
         missingShare(aDemand.mMemoryMb, aRoom.mMemoryMb) +
         missingShare(aDemand.mAccelerators, aRoom.mAccelerators);
}

PlacementConstraint ConstraintAt(const Resources& aDemand,
                                 const PooledWorker& aWorker)
{
  if (aWorker.mSpec.mState != WorkerState::kLive) {
    return PlacementConstraint::kLeaving;
  }
  if (!aWorker.mReachable) {
    return PlacementConstraint::kUnreachable;
  }
  if (aWorker.mQuarantined) {
    return PlacementConstraint::kQuarantined;
  }
  return FirstInsufficientResource(aDemand, aWorker.Free());
}

using CountByConstraint =
  std::array<uint32_t, kPlacementConstraintNames.mRows.size()>;

std::vector<ConstraintCount> ToList(const CountByConstraint& aCounts)
{
  std::vector<ConstraintCount> list;
  for (const auto& row : kPlacementConstraintNames.mRows) {
    const uint32_t workers = aCounts[static_cast<size_t>(row.mValue)];
    if (row.mValue != PlacementConstraint::kNone && workers > 0) {
      list.push_back(ConstraintCount{ row.mValue, workers });
    }
  }
  return list;
}

} // namespace

Diagnosis Diagnose(const Resources& aDemand,
                   const WorkerPool& aPool,
                   const Resources* aQuota)
{
  Diagnosis diagnosis;
  CountByConstraint currentCounts{};
  CountByConstraint idleCounts{};
  bool possible = false;
  std::vector<std::pair<double, size_t>> nearest;
  for (size_t place = 0; place < aPool.Size(); place++) {
    const PooledWorker& worker = aPool.At(place);
    currentCounts[static_cast<size_t>(ConstraintAt(aDemand, worker))]++;
    const PlacementConstraint idleConstraint =
      FirstInsufficientResource(aDemand, worker.Allocatable());
    idleCounts[static_cast<size_t>(idleConstraint)]++;
    possible = possible || idleConstraint == PlacementConstraint::kNone;
    const Resources room = idleConstraint == PlacementConstraint::kNone
                             ? worker.Free()
                             : worker.Allocatable();
    nearest.emplace_back(Shortfall(aDemand, room), place);
  }
  const size_t kept = std::min(kNearestWorkers, nearest.size());
  std::partial_sort(nearest.begin(),
                    nearest.begin() + static_cast<std::ptrdiff_t>(kept),
                    nearest.end());
  for (size_t index = 0; index < kept; index++) {
    diagnosis.mNearest.push_back(aPool.At(nearest[index].second).mSpec.mId);
  }
  if (aQuota != nullptr && !aDemand.FitsIn(*aQuota)) {
    diagnosis.mPossible = false;
    diagnosis.mConstraint = PlacementConstraint::kTeamQuota;
  } else if (!possible && aPool.Size() > 0) {
    diagnosis.mPossible = false;
    const auto mostFrequent =
      std::max_element(idleCounts.begin() + 1, idleCounts.end());
    diagnosis.mConstraint =
      static_cast<PlacementConstraint>(mostFrequent - idleCounts.begin());
  }
  diagnosis.mConstraintCounts =
    ToList(diagnosis.mPossible ? currentCounts : idleCounts);
  return diagnosis;
}

std::string ReasonText(const Diagnosis& aDiagnosis)
{
  std::string text = "no worker has enough ";
  text += kPlacementConstraintNames.Name(aDiagnosis.mConstraint);
  if (aDiagnosis.mConstraint == PlacementConstraint::kTeamQuota) {
    text = "the demand is over its team_quota";
  }
  for (size_t index = 0; index < aDiagnosis.mNearest.size(); index++) {
    text += index == 0 ? "; nearest: " : ", ";
    text += aDiagnosis.mNearest[index].Text();
  }
  return text;
}

} // namespace mulberryvalve
