// The bundle and the placement that schedules run under.
#ifndef TESTS_SCHEDULES_WHOLE_WORKERS_H_
#define TESTS_SCHEDULES_WHOLE_WORKERS_H_

#include "mulberryvalve/core/colocation/colocation_controller.h"

#include <memory>

namespace schedules {

// BundleWithoutRequestReserve keeps nothing free for requests, so that tasks
// fill the workers.
inline mulberryvalve::Bundle BundleWithoutRequestReserve()
{
  mulberryvalve::Bundle bundle;
  bundle.mPlacement.mRequestReserve = mulberryvalve::Resources();
  return bundle;
}

// MakeColocation returns learned placement under that bundle.
inline std::unique_ptr<mulberryvalve::ColocationController> MakeColocation()
{
  auto colocation = std::make_unique<mulberryvalve::ColocationController>(
    mulberryvalve::ColocationOptions());
  colocation->OnBundle(BundleWithoutRequestReserve());
  return colocation;
}

} // namespace schedules

#endif // TESTS_SCHEDULES_WHOLE_WORKERS_H_
