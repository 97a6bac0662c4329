// PressureLimit: how much pressure best-effort tasks may put on the services of
// a worker.
#ifndef MULBERRYVALVE_CORE_JOBS_PRESSURE_LIMIT_H_
#define MULBERRYVALVE_CORE_JOBS_PRESSURE_LIMIT_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/worker_table.h"

#include <cstdint>

namespace mulberryvalve {

// The load of services on which the admitted pressure is based.
enum class PressureBasis
{
  kPeakLoad,     // the recent peak of each service
  kExpectedLoad, // the load that is expected in the next second
};

inline constexpr EnumTable<PressureBasis, 2> kPressureBasisNames{ { {
  { PressureBasis::kPeakLoad, "peak-load" },
  { PressureBasis::kExpectedLoad, "expected-load" },
} } };

// Implementations are immutable and therefore thread-safe.
class PressureLimit
{
public:
  virtual ~PressureLimit() = default;

  // Admitted returns the pressure up to which best-effort tasks are added to a
  // worker, as InterferenceEstimator defines pressure. It may be negative.
  virtual double Admitted(const WorkerEntry& aWorker) const = 0;

  // NeedsExpectedLoad returns whether Admitted depends on
  // WorkerEntry::mTolerableSoon.
  virtual bool NeedsExpectedLoad() const = 0;

  // MixedImagesCost returns the cost, in percent of a worker's CPU usage, of a
  // serving task beside serving tasks of other images only. The more it costs,
  // the more workers have services of one image, beside which more kinds of
  // best-effort tasks disturb none.
  virtual int64_t MixedImagesCost() const = 0;
};

// PeakLoadPressureLimit admits twice what the services bear at the peak of
// their loads, as they are at their peak for a short part of the time.
class PeakLoadPressureLimit : public PressureLimit
{
public:
  double Admitted(const WorkerEntry& aWorker) const override;
  bool NeedsExpectedLoad() const override { return false; }
  int64_t MixedImagesCost() const override;
};

// ExpectedLoadPressureLimit admits what the services bear at the load that is
// expected in the next second, less a margin. Services with too few reports
// count with their peak, and with the same margin.
class ExpectedLoadPressureLimit : public PressureLimit
{
public:
  double Admitted(const WorkerEntry& aWorker) const override;
  bool NeedsExpectedLoad() const override { return true; }
  int64_t MixedImagesCost() const override;
};

inline const PeakLoadPressureLimit kPeakLoadLimit;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PRESSURE_LIMIT_H_
