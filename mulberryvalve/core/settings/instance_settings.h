// InstanceSettings: the startup configuration of one daemon instance.
#ifndef MULBERRYVALVE_CORE_SETTINGS_INSTANCE_SETTINGS_H_
#define MULBERRYVALVE_CORE_SETTINGS_INSTANCE_SETTINGS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mulberryvalve {

// InstanceSettings is a value type; not synchronised. The adapter that reads
// the settings validates all ranges. Durations are configuration only: running
// code converts them to deadlines. An empty mLogFile selects standard error.
struct InstanceSettings
{
  InstanceId mInstance;
  DomainId mDomain;
  Endpoint mCallerListen;
  Endpoint mPeerListen;
  std::vector<Endpoint> mPeers;
  Endpoint mPlatform;
  std::vector<DomainId> mDomains;
  uint32_t mShardsPerDomain = 1;
  Milliseconds mHeadStaleness{ 1500 };
  Milliseconds mClockAllowance{ 300 };
  Milliseconds mLease{ 30000 };
  Milliseconds mRenewalWindow{ 600000 };
  Milliseconds mCommitWindow{ 33 };
  Milliseconds mSyncInterval{ 500 };
  Milliseconds mHeartbeat{ 500 };
  Milliseconds mPeerDead{ 3000 };
  Milliseconds mDrain{ 20000 };
  uint32_t mCallerThreads = 128;
  uint64_t mMaxBodyBytes = 262144;
  Milliseconds mRequestDeadline{ 2000 };
  uint64_t mRandomSeed = 0;
  EventLevel mLogLevel = EventLevel::kInfo;
  std::string mLogFile;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SETTINGS_INSTANCE_SETTINGS_H_
