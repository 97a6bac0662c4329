// Fleet: the stand-ins and the daemons of one test, with relays between them.
#ifndef TESTS_PROCESS_FLEET_H_
#define TESTS_PROCESS_FLEET_H_

#include "mulberryvalve/adapters/http/http_client_pool.h"
#include "tests/process/history_check.h"
#include "tests/process/process.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mulberryvalve {

// FleetOptions say what runs. Each domain has its own workers, instances and a
// relay to the platform; relays stand between instances of two domains.
struct FleetOptions
{
  std::vector<std::string> mDomains{ "a", "b" };
  int mInstancesPerDomain = 2;
  int mWorkersPerDomain = 4;
  int mLeaseMs = 4000;
  int mRenewalWindowMs = 60000;
  int mRetentionRecords = 0;
  std::vector<std::string> mFlags;
};

// Answer is one HTTP answer; mStatus is zero when none came.
struct Answer
{
  int mStatus = 0;
  nlohmann::json mBody;
  std::string mOutcome;
};

// Fleet is not synchronised but for Call, which is thread-safe.
class Fleet
{
public:
  // Fleet starts everything, publishes a bundle and waits until each instance
  // is ready.
  explicit Fleet(FleetOptions aOptions);

  // Names returns the instances' names, such as "a-0".
  std::vector<std::string> Names() const;

  // Call asks an instance, by name; a body makes it a POST.
  Answer Call(const std::string& aInstance,
              const std::string& aPath,
              const std::string& aBody = "",
              std::vector<HttpHeader> aHeaders = {});

  // SetFaults sets fault switches of "platform", "workers-DOMAIN",
  // "relay-DOMAIN" (to the platform) or "peers" (all relays between domains).
  void SetFaults(const std::string& aFaultTarget,
                 const nlohmann::json& aFaults);

  // Spawn starts an instance, again when it ran before.
  void Spawn(const std::string& aInstance);

  // InstanceProcess returns a running instance's process.
  Process& InstanceProcess(const std::string& aInstance);

  // Kill ends instances at once and waits for their end.
  void Kill(const std::vector<std::string>& aInstances);

  // OwnerOf returns the instance that acts on a shard, or an empty text.
  std::string OwnerOf(const std::string& aShard);

  // AwaitOwnerOf waits for an instance that acts for a shard; none may for a
  // moment while it confirms that it still owns it.
  std::string AwaitOwnerOf(const std::string& aShard);

  // Submit submits a job over an instance and returns its id, or "".
  std::string Submit(const std::string& aInstance,
                     const std::string& aName,
                     const std::string& aHomeDomain,
                     int aParts,
                     int aRunMs);

  // CountInState returns how many tasks of a job are in a state.
  int CountInState(const std::string& aInstance,
                   const std::string& aJob,
                   const std::string& aState);

  // Publish publishes a bundle over aExpected and signs it off.
  Answer Publish(const std::string& aInstance, int aVersion, int aExpected);

  // ChangeDomain takes a domain out or returns it, over its present offset
  // when aExpected is negative.
  Answer ChangeDomain(const std::string& aInstance,
                      const std::string& aDomain,
                      const std::string& aState,
                      int64_t aExpected = -1);

  // WorkerEvents returns what the workers of all domains recorded.
  std::vector<WorkerEvent> WorkerEvents();

  // Capacity returns what each worker has.
  WorkerCapacity Capacity() const { return {}; }

private:
  void SpawnRelay(const std::string& aName, const Endpoint& aTarget);
  Answer SendCall(const Endpoint& aEndpoint, const HttpCall& aCall);

  const FleetOptions mOptions;
  HttpClientPool mPool;
  std::map<std::string, std::unique_ptr<Process>> mProcesses;
  std::map<std::string, Endpoint> mControlEndpoints;
  std::map<std::string, Endpoint> mRelayEndpoints;
  std::map<std::string, Endpoint> mCallerEndpoints;
  std::map<std::string, Endpoint> mPeerEndpoints;
};

// PollUntil polls aCondition until it holds or aLimit has passed.
bool PollUntil(Milliseconds aLimit, const std::function<bool()>& aCondition);

// WallClockMs returns the wall clock in milliseconds, as the workers record it.
int64_t WallClockMs();

} // namespace mulberryvalve

#endif // TESTS_PROCESS_FLEET_H_
