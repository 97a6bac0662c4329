// Diagnose: why a demand fits on no worker now, and whether any worker could
// ever run it.
#ifndef MULBERRYVALVE_CORE_COLOCATION_DIAGNOSIS_H_
#define MULBERRYVALVE_CORE_COLOCATION_DIAGNOSIS_H_

#include "mulberryvalve/core/bundle/bundle.h"
#include "mulberryvalve/core/colocation/explanation.h"
#include "mulberryvalve/core/placement/worker_pool.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// Diagnosis counts the workers that each constraint excludes. mPossible is true
// when the demand fits on some worker while that is idle. Otherwise mConstraint
// is the constraint that excludes the demand.
struct Diagnosis
{
  bool mPossible = true;
  PlacementConstraint mConstraint = PlacementConstraint::kNone;
  std::vector<ConstraintCount> mConstraintCounts;
  std::vector<WorkerId> mNearest;
};

// Diagnose checks every worker of aPool and, if aQuota is not null, the quota.
// No side effects.
Diagnosis Diagnose(const Resources& aDemand,
                   const WorkerPool& aPool,
                   const Resources* aQuota);

// ReasonText describes the constraint and the nearest workers in a
// human-readable form.
std::string ReasonText(const Diagnosis& aDiagnosis);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_DIAGNOSIS_H_
