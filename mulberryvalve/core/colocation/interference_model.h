// InterferenceModel: how much each task class slows down requests and other
// tasks, learned from usage reports.
#ifndef MULBERRYVALVE_CORE_COLOCATION_INTERFERENCE_MODEL_H_
#define MULBERRYVALVE_CORE_COLOCATION_INTERFERENCE_MODEL_H_

#include "mulberryvalve/core/model/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// ClassIndex is the dense index of a task class within one model.
using ClassIndex = uint8_t;

// ClassCores is the CPU use of one running task, in cores, by class.
struct ClassCores
{
  ClassIndex mClass = 0;
  double mCores = 0;
};

// InterferenceModel keeps one linear model per subject. A subject's slowdown is
// a base plus, for each class running beside it, a weight times the cores in
// use. The subjects are requests at four load levels, and each task class.
// Memory is bounded: classes beyond the limit share one index. Not thread-safe.
class InterferenceModel
{
public:
  static constexpr size_t kMaxClasses = 48;
  static constexpr size_t kLoadLevels = 4;

  InterferenceModel();

  // IndexOf returns the index of aClass and assigns one to a new class.
  ClassIndex IndexOf(const TaskClass& aClass);

  // ObserveRequests updates the model of requests with one report: requests
  // kept aBusyShare (0 to 1) of the slots busy, and their p99 was aTailRatio
  // times the target.
  void ObserveRequests(double aBusyShare,
                       double aTailRatio,
                       const std::vector<ClassCores>& aRunning);

  // ObservePace updates the model of aClass: beside aOthers, a task took 1 +
  // aSlowdown times as long for its progress as at full speed.
  void ObservePace(ClassIndex aClass,
                   double aSlowdown,
                   const std::vector<ClassCores>& aOthers);

  // PredictTail returns the expected ratio of the requests' p99 to the target.
  // Classes with few observations get an extra penalty for uncertainty.
  double PredictTail(double aBusyShare,
                     const std::vector<ClassCores>& aRunning) const;

  // BaseTail returns the expected tail ratio while no task runs.
  double BaseTail(double aBusyShare) const;

  // TailContribution returns the part of PredictTail that is due to aTask.
  double TailContribution(double aBusyShare, const ClassCores& aTask) const;

  // PredictSlowdown returns the expected slowdown of a task of aClass caused by
  // aOther.
  double PredictSlowdown(ClassIndex aClass, const ClassCores& aOther) const;

  // TailWeight returns the increase of the tail ratio per core of aClass.
  double TailWeight(double aBusyShare, ClassIndex aClass) const;

private:
  struct Weight
  {
    double mValue = 0;
    uint32_t mSamples = 0;
  };
  struct Subject
  {
    double mBase = 0;
    uint32_t mSamples = 0;
    std::array<Weight, kMaxClasses> mByClass{};
  };

  static size_t LoadLevelOf(double aBusyShare);
  static void Learn(Subject& aSubject,
                    double aSlowdown,
                    const std::vector<ClassCores>& aRunning);
  static double Contribution(const Subject& aSubject, const ClassCores& aTask);

  std::unordered_map<TaskClass, ClassIndex> mIndexes;
  std::vector<Subject> mRequestsByLoad;
  std::vector<Subject> mTasksByClass;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_INTERFERENCE_MODEL_H_
