#include "tests/process/fleet.h"

#include "tests/support/free_port.h"

#include <csignal>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr Milliseconds kPoll{ 25 };
constexpr Milliseconds kCallLimit{ 4000 };
constexpr Milliseconds kReadyLimit{ 20000 };
constexpr size_t kIdle = 8;

Endpoint ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  return Endpoint{ aText.substr(0, colon),
                   static_cast<uint16_t>(std::stoi(aText.substr(colon + 1))) };
}

std::string TextOf(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

// Returns a word of aLine, counted from 0.
std::string Word(const std::string& aLine, size_t aIndex)
{
  std::istringstream words(aLine);
  std::string word;
  for (size_t at = 0; at <= aIndex; at++) {
    words >> word;
  }
  return word;
}

std::string DomainOf(const std::string& aInstance)
{
  return aInstance.substr(0, aInstance.find('-'));
}

} // namespace

bool PollUntil(Milliseconds aLimit, const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

int64_t WallClockMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Fleet::Fleet(FleetOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPool(kIdle)
{
  auto platform = std::make_unique<Process>(
    MULBERRYVALVE_PLATFORMD,
    std::vector<std::string>{ "--listen",
                              "127.0.0.1:0",
                              "--retention-records",
                              std::to_string(mOptions.mRetentionRecords) });
  mControlEndpoints["platform"] = ParseEndpoint(Word(platform->FirstLine(), 3));
  mProcesses["platform"] = std::move(platform);
  for (const std::string& domain : mOptions.mDomains) {
    auto workers = std::make_unique<Process>(
      MULBERRYVALVE_WORKERD,
      std::vector<std::string>{ "--listen",
                                "127.0.0.1:0",
                                "--platform",
                                TextOf(mControlEndpoints["platform"]),
                                "--count",
                                std::to_string(mOptions.mWorkersPerDomain),
                                "--prefix",
                                domain + "-w",
                                "--domain",
                                domain });
    mControlEndpoints["workers-" + domain] =
      ParseEndpoint(Word(workers->FirstLine(), 3));
    mProcesses["workers-" + domain] = std::move(workers);
    SpawnRelay("relay-" + domain, mControlEndpoints["platform"]);
    for (int i = 0; i < mOptions.mInstancesPerDomain; i++) {
      const std::string name = domain + "-" + std::to_string(i);
      mCallerEndpoints[name] = Endpoint{ "127.0.0.1", FreePort() };
      mPeerEndpoints[name] = Endpoint{ "127.0.0.1", FreePort() };
    }
  }
  for (const std::string& domain : mOptions.mDomains) {
    for (const std::string& name : Names()) {
      if (DomainOf(name) != domain) {
        SpawnRelay("peers-" + domain + "-" + name, mPeerEndpoints[name]);
      }
    }
  }
  for (const std::string& name : Names()) {
    Spawn(name);
  }
  const std::string first = Names().front();
  PollUntil(kReadyLimit, [&] { return Publish(first, 1, 0).mStatus == 200; });
  const bool ready = PollUntil(kReadyLimit, [&] {
    for (const std::string& name : Names()) {
      if (Call(name, "/readyz").mStatus != 200) {
        return false;
      }
    }
    for (const std::string& domain : mOptions.mDomains) {
      if (OwnerOf(domain + ".0").empty()) {
        return false;
      }
    }
    return true;
  });
  if (!ready) {
    throw std::runtime_error("the instances did not get ready");
  }
}

std::vector<std::string> Fleet::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, endpoint] : mCallerEndpoints) {
    names.push_back(name);
  }
  return names;
}

void Fleet::SpawnRelay(const std::string& aName, const Endpoint& aTarget)
{
  auto relay =
    std::make_unique<Process>(MULBERRYVALVE_RELAYD,
                              std::vector<std::string>{ "--listen",
                                                        "127.0.0.1:0",
                                                        "--target",
                                                        TextOf(aTarget),
                                                        "--control",
                                                        "127.0.0.1:0" });
  const std::string line = relay->FirstLine();
  mRelayEndpoints[aName] = ParseEndpoint(Word(line, 3));
  mControlEndpoints[aName] = ParseEndpoint(Word(line, 5));
  mProcesses[aName] = std::move(relay);
}

void Fleet::Spawn(const std::string& aInstance)
{
  const std::string domain = DomainOf(aInstance);
  std::string domains;
  for (const std::string& name : mOptions.mDomains) {
    domains += (domains.empty() ? "" : ",") + name;
  }
  std::string peers;
  for (const std::string& name : Names()) {
    if (name != aInstance) {
      const Endpoint peer = DomainOf(name) == domain
                              ? mPeerEndpoints[name]
                              : mRelayEndpoints["peers-" + domain + "-" + name];
      peers += (peers.empty() ? "" : ",") + TextOf(peer);
    }
  }
  std::vector<std::string> flags{
    "--instance=" + aInstance,
    "--domain=" + domain,
    "--domains=" + domains,
    "--caller-listen=" + TextOf(mCallerEndpoints[aInstance]),
    "--peer-listen=" + TextOf(mPeerEndpoints[aInstance]),
    "--platform=" + TextOf(mRelayEndpoints["relay-" + domain]),
    "--lease-ms=" + std::to_string(mOptions.mLeaseMs),
    "--renewal-window-ms=" + std::to_string(mOptions.mRenewalWindowMs),
    "--sync-interval-ms=200",
    "--heartbeat-ms=250",
    "--peer-dead-ms=1500",
    "--log-level=warn",
    "--log-file=" + aInstance + ".log"
  };
  if (!peers.empty()) {
    flags.push_back("--peers=" + peers);
  }
  flags.insert(flags.end(), mOptions.mFlags.begin(), mOptions.mFlags.end());
  mProcesses[aInstance] =
    std::make_unique<Process>(MULBERRYVALVE_DAEMON, flags);
}

Process& Fleet::InstanceProcess(const std::string& aInstance)
{
  return *mProcesses.at(aInstance);
}

void Fleet::Kill(const std::vector<std::string>& aInstances)
{
  for (const std::string& name : aInstances) {
    InstanceProcess(name).Signal(SIGKILL);
  }
  for (const std::string& name : aInstances) {
    InstanceProcess(name).Wait();
  }
}

Answer Fleet::SendCall(const Endpoint& aEndpoint, const HttpCall& aCall)
{
  const HttpAnswer http = mPool.Exchange(aEndpoint, aCall);
  if (http.mOutcome != HttpOutcome::kAnswered) {
    return Answer();
  }
  return Answer{ http.mStatus,
                 json::parse(http.mBody, nullptr, false),
                 http.Header("X-Outcome") };
}

Answer Fleet::Call(const std::string& aInstance,
                   const std::string& aPath,
                   const std::string& aBody,
                   std::vector<HttpHeader> aHeaders)
{
  HttpCall call;
  call.mMethod = aBody.empty() ? HttpMethod::kGet : HttpMethod::kPost;
  call.mPath = aPath;
  call.mBody = aBody;
  call.mHeaders = std::move(aHeaders);
  call.mTimeout = kCallLimit;
  return SendCall(mCallerEndpoints.at(aInstance), call);
}

void Fleet::SetFaults(const std::string& aFaultTarget, const json& aFaults)
{
  for (const auto& [name, endpoint] : mControlEndpoints) {
    if (name != aFaultTarget && name.rfind(aFaultTarget + "-", 0) != 0) {
      continue;
    }
    HttpCall call;
    call.mMethod = HttpMethod::kPost;
    call.mPath = "/v1/faults";
    call.mBody = aFaults.dump();
    call.mTimeout = kCallLimit;
    SendCall(endpoint, call);
  }
}

std::string Fleet::OwnerOf(const std::string& aShard)
{
  for (const std::string& name : Names()) {
    const Answer status = Call(name, "/v1/status");
    if (status.mStatus != 200) {
      continue;
    }
    for (const json& shard : status.mBody["shards"]) {
      if (shard["shard"] == aShard && shard["acting_here"] == true) {
        return name;
      }
    }
  }
  return "";
}

std::string Fleet::AwaitOwnerOf(const std::string& aShard)
{
  constexpr Milliseconds kLimit{ 10000 };
  std::string owner;
  PollUntil(kLimit, [&] {
    owner = OwnerOf(aShard);
    return !owner.empty();
  });
  if (owner.empty()) {
    throw std::runtime_error("nobody acts for the shard");
  }
  return owner;
}

std::string Fleet::Submit(const std::string& aInstance,
                          const std::string& aName,
                          const std::string& aHomeDomain,
                          int aParts,
                          int aRunMs)
{
  const json job{
    { "name", aName },     { "home", aHomeDomain },
    { "parts", aParts },   { "cpu_millis", 1000 },
    { "memory_mb", 1000 }, { "payload", json{ { "run_ms", aRunMs } }.dump() }
  };
  const Answer answer = Call(aInstance, "/v1/jobs", job.dump());
  return answer.mStatus == 200 ? answer.mBody["job"].get<std::string>() : "";
}

int Fleet::CountInState(const std::string& aInstance,
                        const std::string& aJob,
                        const std::string& aState)
{
  const Answer answer = Call(aInstance, "/v1/jobs/" + aJob);
  return answer.mStatus == 200 ? answer.mBody["states"].value(aState, 0) : 0;
}

Answer Fleet::Publish(const std::string& aInstance, int aVersion, int aExpected)
{
  const json bundle{
    { "version", aVersion },
    { "name", aInstance },
    { "limits", { { "starts_per_second", 500 }, { "moves_per_second", 100 } } }
  };
  const Answer published =
    Call(aInstance,
         "/v1/bundles",
         bundle.dump(),
         { { "X-Expected-Version", std::to_string(aExpected) },
           { "X-Operator", aInstance } });
  if (published.mStatus != 200) {
    return published;
  }
  return Call(
    aInstance,
    "/v1/bundles/" + std::to_string(aVersion) + "/sign-off",
    " ",
    { { "X-Digest", published.mBody["digest"] }, { "X-Operator", aInstance } });
}

Answer Fleet::ChangeDomain(const std::string& aInstance,
                           const std::string& aDomain,
                           const std::string& aState,
                           int64_t aExpected)
{
  if (aExpected < 0) {
    const Answer domains = Call(aInstance, "/v1/domains");
    for (const json& row : domains.mBody["domains"]) {
      aExpected =
        row["domain"] == aDomain ? row["offset"].get<int64_t>() : aExpected;
    }
  }
  const json change{ { "state", aState },
                     { "expected", aExpected },
                     { "operator", aInstance },
                     { "reason", "test" } };
  return Call(aInstance, "/v1/domains/" + aDomain, change.dump());
}

std::vector<WorkerEvent> Fleet::WorkerEvents()
{
  std::vector<WorkerEvent> events;
  for (const std::string& domain : mOptions.mDomains) {
    HttpCall call;
    call.mPath = "/v1/record";
    call.mTimeout = kCallLimit;
    const HttpAnswer http =
      mPool.Exchange(mControlEndpoints["workers-" + domain], call);
    ParseEvents(http.mBody, events);
  }
  return events;
}

} // namespace mulberryvalve
