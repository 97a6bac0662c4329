#include "fleet.h"

#include "http_server.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <httplib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int kClientTimeoutSeconds = 3;
constexpr const char* kDeadline = "3000";
constexpr Ms kRetryDelay{ 500 };
constexpr int kTries = 20;

httplib::Client ClientOf(const std::string& aEndpoint)
{
  httplib::Client client("http://" + aEndpoint);
  client.set_connection_timeout(1);
  client.set_read_timeout(kClientTimeoutSeconds);
  return client;
}

// The bounds of hvct-kiosk.
json Bounds(int aStatusSeconds)
{
  return { { "seed_lag_s", 3 },
           { "reuse_after_s", 2 },
           { "contact_ms", 3000 },
           { "ack_ms", 4000 },
           { "catch_up_s", 4 },
           { "drain_ms", 2000 },
           { "grace_s", 6 },
           { "loss_slack_ms", 200 },
           { "config_apply_ms", 2000 },
           { "downgrade_slack_ms", 250 },
           { "outer_bound_ms", 5000 },
           { "cold_overshoot", 1.5 },
           { "cold_slack", 5 },
           { "evacuation_ms", 5000 },
           { "recovery_s", 12 },
           { "max_hold_ms", 10000 },
           { "stop_ms", 900 },
           { "gang_timeout_ms", 3000 },
           { "cancel_ms", 3000 },
           { "visible_ms", 3000 },
           { "early_ms", 250 },
           { "finish_s", 14 },
           { "status_s", aStatusSeconds },
           { "remote_penalty", 2 },
           { "checkpoint_interval_s", 1 },
           { "restore_ms", 250 },
           { "notice_ms", 4500 },
           { "move_s", 1.5 },
           { "maintenance_s", 2 },
           { "enforce_fencing", false },
           { "lease_ms", 3000 },
           { "thaw_slack_ms", 300 },
           { "pace_ms", 100 },
           { "harm_ms", 4000 } };
}

json Settings(const Entry& aEntry,
              const std::string& aAddress,
              uint16_t aPeerPort,
              const FleetOptions& aOptions,
              const std::string& aStore)
{
  return {
    { "node", aEntry.mNode },
    { "role", "entry" },
    { "machine_class", "frontend" },
    { "serves", { "frontend" } },
    { "ip", aAddress },
    { "zone", "ne-a" },
    { "region", "new-england" },
    { "internal_ports", { aPeerPort, aPeerPort } },
    { "seeds", json::array() },
    { "bootstrap", true },
    { "in_tolerance", false },
    { "discovery", "platform" },
    { "entry", "virtual_ip" },
    { "heartbeat_ms", 1100 },
    { "contracts",
      { "base", "drain", "config", "cost", "recover", "sched", "places" } },
    { "orders", "call" },
    { "zones", { { "ne-a", "new-england" } } },
    { "listen", { { "front", aEntry.mFront }, { "ready", aEntry.mReady } } },
    { "limits",
      { { "cpu_share", aOptions.mCores },
        { "cores", 1 },
        { "memory_mb", 260 },
        { "file_descriptors", 4100 },
        { "link_mbps", 1000.0 },
        { "disk_mb", 0 } } },
    { "fault_tolerance",
      { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
    { "bounds", Bounds(aOptions.mStatusSeconds) },
    { "platform",
      { { "address", aStore },
        { "form", "log" },
        { "writes_per_s", 800 },
        { "reads_per_s", 2000 },
        { "parts", kParts },
        { "append_ms", 3.0 },
        { "part_mb_per_s", 20.0 },
        { "read_mb_per_s", 80.0 },
        { "record_bytes", 262144 },
        { "request_bytes", 2097152 },
        { "keep_s", 300 },
        { "partition_mb", 200 },
        { "min_ttl_ms", 1000 } } },
  };
}

} // namespace

Fleet::Fleet(FleetOptions aOptions, const Store& aStore, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mEntries(mOptions.mEntries)
{
  for (size_t number = 0; number < mEntries.size(); number++) {
    Start(mEntries[number], number, aStore);
  }
}

Fleet::~Fleet()
{
  for (const Entry& entry : mEntries) {
    ::kill(entry.mPid, SIGCONT);
    ::kill(entry.mPid, SIGKILL);
    ::waitpid(entry.mPid, nullptr, 0);
  }
}

void Fleet::Start(Entry& aEntry, size_t aNumber, const Store& aStore)
{
  const std::string address = mOptions.mNetwork + std::to_string(aNumber + 1);
  aEntry.mNode = "frontend-ne-a-" + std::to_string(aNumber + 1);
  aEntry.mFront = address + ":" + std::to_string(FreePort(address));
  aEntry.mReady = address + ":" + std::to_string(FreePort(address));
  const std::string settings = mOptions.mFolder + "/" + aEntry.mNode + ".json";
  std::ofstream(settings)
    << Settings(aEntry, address, FreePort(address), mOptions, aStore.Endpoint())
         .dump();
  const std::string output = mOptions.mFolder + "/" + aEntry.mNode + ".log";
  std::vector<std::string> command = mOptions.mCommand;
  std::vector<char*> arguments;
  for (std::string& word : command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  aEntry.mPid = ::fork();
  if (aEntry.mPid == 0) {
    // It ends with this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::setenv("MULBERRYVALVE_NODE_FILE", settings.c_str(), 1);
    if (::chdir(mOptions.mRoot.c_str()) == 0) {
      ::execv(arguments[0], arguments.data());
    }
    ::_exit(127);
  }
  mRecord.Line(aEntry.mNode + " started");
}

bool Fleet::AwaitReady(Ms aTime) const
{
  const Steady::time_point until = Steady::now() + aTime;
  while (Steady::now() < until) {
    size_t ready = 0;
    for (const Entry& entry : mEntries) {
      const auto answer = ClientOf(entry.mReady).Get("/v1/readiness");
      ready += answer && answer->status == 200 ? 1 : 0;
    }
    if (ready == mEntries.size()) {
      mRecord.Line("all instances are ready");
      return true;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  mRecord.Line("the instances did not get ready");
  return false;
}

int Fleet::SubmitOnce(const std::string& aHost,
                      const std::string& aPath,
                      const json& aJob)
{
  const Entry& entry = mEntries[mNext++ % mEntries.size()];
  const auto answer =
    ClientOf(entry.mFront)
      .Post(aPath,
            { { "Host", aHost }, { "Mulberryvalve-Deadline-Ms", kDeadline } },
            aJob.dump(),
            "application/json");
  const int status = answer ? answer->status : 0;
  mRecord.Line("client POST " + aPath + " at " + entry.mNode + ": " +
               std::to_string(status));
  return status;
}

int Fleet::Submit(const std::string& aHost,
                  const std::string& aPath,
                  const json& aJob)
{
  int status = 0;
  for (int tries = 0; tries < kTries && status != 200; tries++) {
    status = SubmitOnce(aHost, aPath, aJob);
    if (status != 200) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  return status;
}

int Fleet::Cancel(const std::string& aHost, const std::string& aPath)
{
  const Entry& entry = mEntries[mNext++ % mEntries.size()];
  const auto answer = ClientOf(entry.mFront)
                        .Delete(aPath,
                                { { "Host", aHost },
                                  { "Mulberryvalve-Deadline-Ms", kDeadline } });
  const int status = answer ? answer->status : 0;
  mRecord.Line("client DELETE " + aPath + " at " + entry.mNode + ": " +
               std::to_string(status));
  return status;
}

JobState Fleet::Ask(const std::string& aHost, const std::string& aPath)
{
  const Entry& entry = mEntries[mNext++ % mEntries.size()];
  const auto answer =
    ClientOf(entry.mFront)
      .Get(aPath,
           { { "Host", aHost }, { "Mulberryvalve-Deadline-Ms", kDeadline } });
  JobState state;
  if (answer) {
    state.mStatus = answer->status;
    const json body = json::parse(answer->body, nullptr, false);
    state.mState = body.is_object() ? body.value("state", "") : "";
    if (body.is_object() && body.contains("waiting")) {
      state.mWaiting = body["waiting"].get<int64_t>();
      state.mState = "waiting " + std::to_string(*state.mWaiting);
    }
  }
  mRecord.Line("client GET " + aPath + " at " + entry.mNode + ": " +
               std::to_string(state.mStatus) + " " + state.mState);
  return state;
}

void Fleet::Signal(size_t aEntry, int aSignal)
{
  mRecord.Line("TROUBLE signal " + std::to_string(aSignal) + " to " +
               mEntries[aEntry].mNode);
  ::kill(mEntries[aEntry].mPid, aSignal);
}

} // namespace review
