// DemandShape: the scheduling equivalence class of a task. Tasks of one shape
// can be placed on the same workers.
#ifndef MULBERRYVALVE_CORE_COLOCATION_DEMAND_SHAPE_H_
#define MULBERRYVALVE_CORE_COLOCATION_DEMAND_SHAPE_H_

#include "mulberryvalve/core/model/task.h"

#include <tuple>

namespace mulberryvalve {

// DemandShape is an ordered value type. When one task of a shape cannot be
// placed in a round, no other task of the shape is tried in that round.
struct DemandShape
{
  TeamId mTeam;
  TaskClass mClass;
  Resources mResources;
  Priority mPriority = Priority::kNormal;

  friend bool operator<(const DemandShape& aLeft, const DemandShape& aRight)
  {
    return aLeft.Tie() < aRight.Tie();
  }

private:
  std::tuple<const TeamId&,
             const TaskClass&,
             const int64_t&,
             const int64_t&,
             const int64_t&,
             const Priority&>
  Tie() const
  {
    return std::tie(mTeam,
                    mClass,
                    mResources.mCpuMillis,
                    mResources.mMemoryMb,
                    mResources.mAccelerators,
                    mPriority);
  }
};

// ShapeOf returns the shape of aDemand.
inline DemandShape ShapeOf(const TaskDemand& aDemand)
{
  return {
    aDemand.mTeam, aDemand.mClass, aDemand.mResources, aDemand.mPriority
  };
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_DEMAND_SHAPE_H_
