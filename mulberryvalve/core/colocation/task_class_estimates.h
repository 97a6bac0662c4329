// TaskClassEstimates: CPU use and run time of each task class, estimated from
// the usage that workers report.
#ifndef MULBERRYVALVE_CORE_COLOCATION_TASK_CLASS_ESTIMATES_H_
#define MULBERRYVALVE_CORE_COLOCATION_TASK_CLASS_ESTIMATES_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/colocation/interference_model.h"

#include <array>

namespace mulberryvalve {

// TaskClassEstimates keeps exponentially weighted moving averages by class
// index. Estimates predict usage only; allocations always use the declared
// resources. Not thread-safe.
class TaskClassEstimates
{
public:
  // RecordCpuUse records that a task declared aDeclared cores and uses aUsed.
  void RecordCpuUse(ClassIndex aClass, double aDeclared, double aUsed)
  {
    if (aDeclared > 0) {
      mClasses[aClass].mUseRatio.Add(aUsed / aDeclared);
    }
  }

  // RecordRunTime records that a task of aClass completed after aRun.
  void RecordRunTime(ClassIndex aClass, Milliseconds aRun)
  {
    mClasses[aClass].mRunTimeMs.Add(static_cast<double>(aRun.count()));
  }

  // PredictCores returns the expected CPU use, in cores, of a task that
  // declares aDeclared cores.
  double PredictCores(ClassIndex aClass, double aDeclared) const
  {
    const MovingMean& use = mClasses[aClass].mUseRatio;
    return aDeclared * (use.mHasSamples ? use.mValue : 1.0);
  }

  // PredictRunTime returns the expected run time, or zero when no task of
  // aClass has completed.
  Milliseconds PredictRunTime(ClassIndex aClass) const
  {
    return Milliseconds(
      static_cast<int64_t>(mClasses[aClass].mRunTimeMs.mValue));
  }

private:
  struct MovingMean
  {
    static constexpr double kNewSampleWeight = 0.1;
    double mValue = 0;
    bool mHasSamples = false;

    void Add(double aValue)
    {
      mValue =
        mHasSamples ? mValue + kNewSampleWeight * (aValue - mValue) : aValue;
      mHasSamples = true;
    }
  };
  struct ClassEstimate
  {
    MovingMean mUseRatio;
    MovingMean mRunTimeMs;
  };

  std::array<ClassEstimate, InterferenceModel::kMaxClasses> mClasses;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_TASK_CLASS_ESTIMATES_H_
