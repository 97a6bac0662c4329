#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* kProgram = "target/platform/mulberryvalve-entry";
constexpr const char* kArgument = "--shards-by-size";
constexpr const char* kHost = "orders.example";
constexpr const char* kPrefix = "/orders/";
constexpr const char* kService = "pipeline";
constexpr const char* kZones[] = { "perth-a", "stirling-b", "fife-c" };
constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kFirstInternalPort = 7720;
constexpr int kLastInternalPort = 7735;
constexpr int64_t kStartMs = 15000;
constexpr int64_t kSubmitMs = 10000;
constexpr int64_t kDeadlineMs = 3000;

json Configuration()
{
  return json{ { "version", 7 },
               { "routes",
                 { { { "name", "r-1" },
                     { "host", kHost },
                     { "path_prefix", kPrefix },
                     { "kind", "unsafe" },
                     { "timeout_ms", kDeadlineMs },
                     { "target_duration_ms", 1000 },
                     { "priority", 0 },
                     { "service", kService },
                     { "max_attempts", 3 },
                     { "stretch", 2.0 } } } },
               { "services",
                 { { { "name", kService },
                     { "health_path", "/health" },
                     { "connection_limit", 64 },
                     { "protocol", "h1" },
                     { "tls", false },
                     { "cold_start_s", 0.0 },
                     { "cold_per_s", 0.0 },
                     { "enforces_capacity", false },
                     { "spare", false } } } },
               { "limits",
                 { { "header_bytes", 16384 },
                   { "body_bytes", 262144 },
                   { "header_timeout_ms", 3000 },
                   { "idle_timeout_ms", 15000 } } } };
}

} // namespace

Fleet::Fleet(FleetOptions aOptions, std::string aFolder, Record& aRecord)
  : mOptions(aOptions)
  , mFolder(std::move(aFolder))
  , mRecord(aRecord)
  // A loopback network of its own for each process, so that cases which run
  // beside each other don't meet at the fixed ports.
  , mNet("127." + std::to_string(16 + getpid() / 250 % 200) + "." +
         std::to_string(1 + getpid() % 250) + ".")
{
  mStore = std::make_unique<Store>(mNet + "100", mRecord);
  mStore->Put("keyed.op", "config", Configuration().dump());
  for (int number = 0; number < mOptions.mWorkers; number++) {
    WorkerOptions options;
    options.mId = "i-worker" + std::to_string(number);
    options.mAddress = mNet + std::to_string(150 + number);
    options.mService = kService;
    options.mZone = kZones[number % 3];
    options.mRack = "r" + std::to_string(number % 3) + "-1";
    options.mTaskMs = mOptions.mTaskMs;
    mWorkers.push_back(
      std::make_unique<Worker>(options, *mStore, mHistory, mRecord));
  }
  for (int number = 0; number < mOptions.mEntries; number++) {
    Entry entry;
    entry.mAddress = mNet + std::to_string(1 + number);
    entry.mSettings = mFolder + "/entry" + std::to_string(number) + ".json";
    mEntries.push_back(entry);
  }
}

Fleet::~Fleet()
{
  for (const Entry& entry : mEntries) {
    if (entry.mPid > 0) {
      kill(entry.mPid, SIGCONT);
      kill(entry.mPid, SIGKILL);
      waitpid(entry.mPid, nullptr, 0);
    }
  }
}

// The settings of DEPLOY.md, as JSON by the template deploy/settings.json.in.
std::string Fleet::SettingsOf(size_t aEntry) const
{
  const std::string& ip = mEntries[aEntry].mAddress;
  const auto at = [&ip](int aPort) { return ip + ":" + std::to_string(aPort); };
  const json settings{
    { "node", "frontend-" + std::to_string(aEntry + 1) },
    { "role", "entry" },
    { "machine_class", "frontend" },
    { "serves", { "frontend" } },
    { "ip", ip },
    { "zone", kZones[aEntry % 3] },
    { "region", "scot-central" },
    { "zones",
      { { kZones[0], "scot-central" },
        { kZones[1], "scot-central" },
        { kZones[2], "scot-central" } } },
    { "listen", { { "front", at(kFrontPort) }, { "ready", at(kReadyPort) } } },
    { "internal_ports", { kFirstInternalPort, kLastInternalPort } },
    { "seeds", json::array() },
    { "bootstrap", true },
    { "in_tolerance", false },
    { "limits",
      { { "cpu_share", 0.1 },
        { "cores", 1 },
        { "memory_mb", 260 },
        { "file_descriptors", 4100 },
        { "link_mbps", 1000.0 },
        { "disk_mb", 0 } } },
    { "discovery", "platform" },
    { "entry", "virtual_ip" },
    { "heartbeat_ms", 1100 },
    { "contracts",
      { "base",
        "drain",
        "config",
        "cost",
        "recover",
        "sched",
        "places",
        "platform",
        "advice",
        "upkeep",
        "sharing" } },
    { "fault_tolerance",
      { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
    { "bounds",
      { { "contact_ms", 3000 },
        { "ack_ms", 4000 },
        { "drain_ms", 2000 },
        { "grace_s", 6 },
        { "loss_slack_ms", 200 },
        { "config_apply_ms", 2000 },
        { "recovery_s", 12 },
        { "max_hold_ms", 6000 },
        { "stop_ms", 200 },
        { "gang_timeout_ms", 3000 },
        { "cancel_ms", 3000 },
        { "visible_ms", 3000 },
        { "early_ms", 250 },
        { "finish_s", 14 },
        { "status_s", mOptions.mStatusS },
        { "checkpoint_interval_s", 1 },
        { "restore_ms", 600 },
        { "notice_ms", 4500 },
        { "lease_ms", 3000 },
        { "enforce_fencing", false } } },
    { "orders", "call" },
    { "platform",
      { { "address", mStore->Endpoint() },
        { "form", "log" },
        { "writes_per_s", 600 },
        { "reads_per_s", 2000 },
        { "parts", Store::kPartitions },
        { "append_ms", 3.0 },
        { "part_mb_per_s", 20.0 },
        { "read_mb_per_s", 80.0 },
        { "record_bytes", 262144 },
        { "request_bytes", 2097152 },
        { "keep_s", 300 },
        { "partition_mb", 200 },
        { "min_ttl_ms", 1000 } } }
  };
  return settings.dump();
}

void Fleet::Launch(size_t aEntry)
{
  Entry& entry = mEntries[aEntry];
  std::ofstream(entry.mSettings) << SettingsOf(aEntry);
  const std::string log = mFolder + "/entry" + std::to_string(aEntry) + ".log";
  const std::string variable = "MULBERRYVALVE_NODE_FILE=" + entry.mSettings;
  const std::string path =
    std::string("PATH=") +
    (getenv("PATH") == nullptr ? "/usr/bin:/bin" : getenv("PATH"));
  const pid_t pid = fork();
  if (pid == 0) {
    // The entry ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    char* const arguments[] = { const_cast<char*>(kProgram),
                                const_cast<char*>(kArgument),
                                nullptr };
    char* const environment[] = { const_cast<char*>(variable.c_str()),
                                  const_cast<char*>(path.c_str()),
                                  nullptr };
    execve(kProgram, arguments, environment);
    _exit(127);
  }
  entry.mPid = pid;
  mRecord.Line("entry " + std::to_string(aEntry) + " started, pid " +
               std::to_string(pid));
}

bool Fleet::Start()
{
  for (size_t entry = 0; entry < mEntries.size(); entry++) {
    Launch(entry);
  }
  return Await(kStartMs, [this] {
    for (const Entry& entry : mEntries) {
      httplib::Client client(entry.mAddress, kReadyPort);
      client.set_connection_timeout(1);
      client.set_read_timeout(1);
      const auto answer = client.Get("/v1/readiness");
      if (!answer || answer->status != 200) {
        return false;
      }
    }
    return Owner().has_value();
  });
}

std::optional<size_t> Fleet::Owner()
{
  const std::string member = mStore->Holder("owners-0");
  for (size_t entry = 0; entry < mEntries.size(); entry++) {
    if (member.rfind(mEntries[entry].mAddress + ":", 0) == 0) {
      return entry;
    }
  }
  return std::nullopt;
}

void Fleet::Signal(size_t aEntry, int aSignal)
{
  Entry& entry = mEntries[aEntry];
  mRecord.Line("entry " + std::to_string(aEntry) + " gets signal " +
               std::to_string(aSignal));
  kill(entry.mPid, aSignal);
  if (aSignal == SIGKILL || aSignal == SIGTERM) {
    waitpid(entry.mPid, nullptr, 0);
    mRecord.Line("entry " + std::to_string(aEntry) + " has ended");
    entry.mPid = 0;
  }
}

void Fleet::Restart(size_t aEntry)
{
  Launch(aEntry);
}

bool Fleet::AreEntriesAlive()
{
  for (Entry& entry : mEntries) {
    if (entry.mPid > 0 && waitpid(entry.mPid, nullptr, WNOHANG) != 0) {
      entry.mPid = 0;
      return false;
    }
  }
  return true;
}

CallResult Fleet::Call(size_t aEntry,
                       const std::string& aMethod,
                       const std::string& aJob,
                       const std::string& aBody)
{
  httplib::Client client(mEntries[aEntry].mAddress, kFrontPort);
  client.set_connection_timeout(1);
  client.set_read_timeout(kDeadlineMs / 1000 + 1);
  httplib::Request request;
  request.method = aMethod;
  request.path = std::string(kPrefix) + aJob;
  request.headers = { { "Host", kHost },
                      { "Mulberryvalve-Deadline-Ms",
                        std::to_string(kDeadlineMs) } };
  if (!aBody.empty()) {
    request.headers.emplace("Content-Type", "application/json");
    request.body = aBody;
  }
  const auto answer = client.send(request);
  CallResult result;
  if (answer) {
    result.mStatus = answer->status;
    result.mBody = answer->body;
  }
  mRecord.Line("client: " + aMethod + " " + aJob + " at entry " +
               std::to_string(aEntry) + ": " + std::to_string(result.mStatus) +
               " " + result.mBody);
  return result;
}

bool Fleet::Submit(const std::string& aJob, const std::string& aBody)
{
  size_t entry = 0;
  return Await(kSubmitMs, [&] {
    entry = (entry + 1) % mEntries.size();
    return mEntries[entry].mPid > 0 &&
           Call(entry, "POST", aJob, aBody).mStatus == 200;
  });
}

std::string Fleet::AwaitState(const std::string& aJob,
                              const std::vector<std::string>& aStates,
                              int64_t aWaitMs)
{
  size_t entry = 0;
  std::string state;
  Await(aWaitMs, [&] {
    SleepMs(state.empty() ? 0 : 200);
    entry = (entry + 1) % mEntries.size();
    state = "unknown";
    if (mEntries[entry].mPid == 0) {
      return false;
    }
    const CallResult result = Call(entry, "GET", aJob);
    if (result.mStatus != 200) {
      return false;
    }
    state = json::parse(result.mBody).value("state", "");
    return std::find(aStates.begin(), aStates.end(), state) != aStates.end();
  });
  return state;
}

bool Await(int64_t aWaitMs, const std::function<bool()>& aDone)
{
  const int64_t until = NowMs() + aWaitMs;
  while (!aDone()) {
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(20);
  }
  return true;
}

void SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

bool HasTrouble()
{
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int Verdict(const RuleCheck& aCheck, Record& aRecord)
{
  const bool broken = aCheck.mOverlaps + aCheck.mStartsAfterDone > 0;
  const std::string text =
    std::string(broken ? "TWICE broken" : "TWICE held") + ": " +
    std::to_string(aCheck.mRuns) + " runs, " + std::to_string(aCheck.mDone) +
    " ended done, " + std::to_string(aCheck.mStartsAfterDone) +
    " starts after a noted done, " + std::to_string(aCheck.mOverlaps) +
    " starts beside a run of the task" +
    (aCheck.mFirst.empty() ? "" : "; the first: " + aCheck.mFirst);
  aRecord.Line(text);
  std::cout << text << "\n";
  return broken ? kBroken : kHeld;
}

} // namespace review
