// Metrics by client account, of the shards that an instance owns.
#ifndef MULBERRYVALVE_APP_JOBS_ACCOUNT_METRICS_H_
#define MULBERRYVALVE_APP_JOBS_ACCOUNT_METRICS_H_

#include "mulberryvalve/core/accounts/account_load.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/ports/out/metrics.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mulberryvalve {

enum class AccountGauge
{
  kChargedCpu,
  kChargedMemory,
  kChargedAccelerators,
  kLimitCpu,
  kLimitMemory,
  kLimitAccelerators,
  kWaitingJobs,
};

inline constexpr MetricTable<AccountGauge, 7> kAccountGaugeNames{ { {
  { AccountGauge::kChargedCpu,
    "account_charged_cpu_millis",
    "Thousandths of a core that the tasks of an account use or may use" },
  { AccountGauge::kChargedMemory,
    "account_charged_memory_mb",
    "Memory in MB that the tasks of an account use or may use" },
  { AccountGauge::kChargedAccelerators,
    "account_charged_accelerators",
    "Accelerators that the tasks of an account use or may use" },
  { AccountGauge::kLimitCpu,
    "account_limit_cpu_millis",
    "Thousandths of a core that the tasks of an account may use; 0 is no "
    "limit" },
  { AccountGauge::kLimitMemory,
    "account_limit_memory_mb",
    "Memory in MB that the tasks of an account may use; 0 is no limit" },
  { AccountGauge::kLimitAccelerators,
    "account_limit_accelerators",
    "Accelerators that the tasks of an account may use; 0 is no limit" },
  { AccountGauge::kWaitingJobs,
    "account_waiting_jobs",
    "Jobs of an account with tasks that wait" },
} } };
static_assert(kAccountGaugeNames.InOrder());

// The values are sums over the ownerships of the instance. Thread-safe.
class AccountMetrics
{
public:
  // The accounts with the largest charge have rows of their own. The others are
  // one row, which keeps the text short with thousands of accounts.
  static constexpr size_t kRows = 50;

  // Replaces what is known of an ownership.
  void Observe(ShardNumber aShard,
               Epoch aEpoch,
               std::vector<AccountLoad> aAccounts);

  // Forgets an ownership, since it is over.
  void OnOwnershipOver(ShardNumber aShard, Epoch aEpoch);

  // Returns the metrics as text for a metrics endpoint; empty without accounts.
  std::string Exposition() const;

private:
  std::vector<AccountLoad> LargestFirst() const;

  mutable Mutex mMutex;
  std::map<std::pair<ShardNumber, Epoch>, std::vector<AccountLoad>> mAccounts
    MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_ACCOUNT_METRICS_H_
