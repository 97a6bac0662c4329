// Fleet: the platform, workers and daemons that one process test runs, with
// relays that inject network faults between them.
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

// FleetOptions configure a Fleet. Each domain has its own workers, instances
// and a relay to the platform; there is one relay for each instance as seen
// from another domain.
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

// Answer is an HTTP response; mStatus is zero if none was received.
struct Answer
{
  int mStatus = 0;
  nlohmann::json mBody;
  std::string mOutcome;
};

// Fleet starts and controls the processes of a test. Only Call is thread-safe.
class Fleet
{
public:
  // Starts all processes, publishes a bundle and waits until each instance is
  // ready. Throws std::runtime_error if they do not become ready.
  explicit Fleet(FleetOptions aOptions);

  // Returns the names of the instances, such as "a-0".
  std::vector<std::string> Names() const;

  // Sends a request to an instance: POST if aBody is not empty, else GET.
  Answer Call(const std::string& aInstance,
              const std::string& aPath,
              const std::string& aBody = "",
              std::vector<HttpHeader> aHeaders = {});

  // Sets faults of "platform", "workers-DOMAIN", "relay-DOMAIN" (between a
  // domain and the platform) or "peers" (all relays between domains). A name
  // without its domain applies to all domains.
  void SetFaults(const std::string& aFaultTarget,
                 const nlohmann::json& aFaults);

  // Starts an instance, or restarts it after it has ended.
  void Spawn(const std::string& aInstance);

  // Returns the process of a running instance.
  Process& InstanceProcess(const std::string& aInstance);

  // Kills instances and waits until they have exited.
  void Kill(const std::vector<std::string>& aInstances);

  // Returns the instance that acts as the owner of a shard, or "".
  std::string OwnerOf(const std::string& aShard);

  // Waits until an instance acts as the owner of a shard. An owner may stop
  // acting briefly while it confirms that it still owns the shard.
  std::string AwaitOwnerOf(const std::string& aShard);

  // Submits a job through an instance and returns its id, or "" on failure.
  std::string Submit(const std::string& aInstance,
                     const std::string& aName,
                     const std::string& aHomeDomain,
                     int aParts,
                     int aRunMs);

  // Returns how many tasks of a job are in a state.
  int CountInState(const std::string& aInstance,
                   const std::string& aJob,
                   const std::string& aState);

  // Publishes a bundle that replaces version aExpected, and signs it off.
  Answer Publish(const std::string& aInstance, int aVersion, int aExpected);

  // Takes a domain out or returns it. aExpected is the offset of the change
  // that it replaces; negative means the current one.
  Answer ChangeDomain(const std::string& aInstance,
                      const std::string& aDomain,
                      const std::string& aState,
                      int64_t aExpected = -1);

  // Returns the events that the workers of all domains recorded.
  std::vector<WorkerEvent> WorkerEvents();

  // Returns the capacity of each worker.
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

// Polls aCondition until it holds or aLimit has passed; returns whether it
// held.
bool PollUntil(Milliseconds aLimit, const std::function<bool()>& aCondition);

// Returns the wall clock in milliseconds, which workers record as well.
int64_t WallClockMs();

} // namespace mulberryvalve

#endif // TESTS_PROCESS_FLEET_H_
