// RequestSim: simulates entry instances, their upstreams and interfering batch
// load on a manual clock, to compare policies on the same seeded arrivals.
#ifndef MULBERRYVALVE_BENCH_REQUESTS_REQUEST_SIM_H_
#define MULBERRYVALVE_BENCH_REQUESTS_REQUEST_SIM_H_

#include "mulberryvalve/app/requests/upstream_table.h"
#include "mulberryvalve/core/requests/admission_queue.h"
#include "mulberryvalve/core/requests/random_fake.h"
#include "mulberryvalve/core/requests/request_flow.h"
#include "mulberryvalve/core/requests/retry_budget.h"
#include "mulberryvalve/core/requests/slot_shares.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mulberryvalve::bench {

// SimSettings configure one run. mLoadPercent is relative to the capacity of
// all slots but those of the fast-failing worker. mProtectionEnabled adds slot
// shares, ejection, the deadline queue and the retry budget to the upstream
// choice; without it, a request that finds no slot ends, and only the number of
// attempts limits retries. mSharedCounter gives each instance the current slot
// usage of the others, as an ideal shared counter would.
struct SimSettings
{
  uint64_t mSeed = 1;
  int mLoadPercent = 60;
  bool mProtectionEnabled = true;
  bool mSharedCounter = false;
  Milliseconds mDigestInterval{ 500 };
  std::function<std::unique_ptr<UpstreamPolicy>()> mPolicy;
};

// SimResult holds the outcomes that callers saw and the load on workers.
struct SimResult
{
  uint64_t mRequests = 0;
  uint64_t mOnTime = 0;
  uint64_t mNotRun = 0;
  uint64_t mErrors = 0;
  uint64_t mLate = 0;
  uint64_t mRetries = 0;
  uint64_t mRefusals = 0;
  uint64_t mOverruns = 0;
  uint64_t mMaxRunning = 0;
  double mIdleWhileQueued = 0;
  Microseconds mP50{ 0 };
  Microseconds mP99{ 0 };
};

// Runs one simulation. Equal settings give equal results.
SimResult Simulate(const SimSettings& aSettings);

} // namespace mulberryvalve::bench

#endif // MULBERRYVALVE_BENCH_REQUESTS_REQUEST_SIM_H_
