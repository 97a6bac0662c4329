// The bundle and the placement policy that schedules use.
#ifndef TESTS_SCHEDULES_PLACEMENT_FIXTURE_H_
#define TESTS_SCHEDULES_PLACEMENT_FIXTURE_H_

#include "mulberryvalve/core/colocation/colocation_controller.h"

#include <memory>

namespace schedules {

// Returns a bundle that reserves nothing for requests, so that tasks may fill
// the workers.
inline mulberryvalve::Bundle BundleWithoutRequestReserve()
{
  mulberryvalve::Bundle bundle;
  bundle.mPlacement.mRequestReserve = mulberryvalve::Resources();
  return bundle;
}

// Returns the learned placement policy, configured with that bundle.
inline std::unique_ptr<mulberryvalve::ColocationController> MakeColocation()
{
  auto colocation = std::make_unique<mulberryvalve::ColocationController>(
    mulberryvalve::ColocationOptions());
  colocation->OnBundle(BundleWithoutRequestReserve());
  return colocation;
}

} // namespace schedules

#endif // TESTS_SCHEDULES_PLACEMENT_FIXTURE_H_
