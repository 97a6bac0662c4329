#include "world.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <random>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

constexpr uint32_t kParts = 16;
constexpr int kReadyTimeoutMs = 25000;
constexpr int kClientTimeoutMs = 3000;
constexpr int kGraceMs = 7000;
const char* const kHost = "nony24.example";

// Loopback addresses of the case, of a network that depends on the process so
// that two cases don't meet.
std::string NetOf(pid_t aPid)
{
  return "127." + std::to_string(20 + aPid / 250 % 200) + "." +
         std::to_string(1 + aPid % 250) + ".";
}

uint16_t FreePort(const std::string& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

uint64_t Random()
{
  static std::mt19937_64 generator(std::random_device{}());
  static std::mutex mutex;
  std::lock_guard<std::mutex> lock(mutex);
  return generator();
}

} // namespace

void SleepMs(int64_t aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

World::World(int aArgc, char** aArgv)
  : mNet(NetOf(::getpid()))
  , mRecord(aArgv[1])
  , mStore(mNet + "1", kParts)
{
  signal(SIGPIPE, SIG_IGN);
  for (int index = 2; index < aArgc; index++) {
    mCommand.emplace_back(aArgv[index]);
  }
  char folder[] = "/tmp/review-case-XXXXXX";
  mFolder = ::mkdtemp(folder);
}

World::~World()
{
  for (const Entry& entry : mEntries) {
    ::kill(entry.mPid, SIGCONT);
    ::kill(entry.mPid, SIGTERM);
  }
  const int64_t until = NowMs() + kGraceMs;
  for (const Entry& entry : mEntries) {
    while (::waitpid(entry.mPid, nullptr, WNOHANG) == 0) {
      if (NowMs() > until) {
        ::kill(entry.mPid, SIGKILL);
      }
      SleepMs(20);
    }
  }
  mWorkers.clear();
  for (size_t index = 0; index < mEntries.size(); index++) {
    const std::string base = mFolder + "/entry-" + std::to_string(index);
    ::unlink((base + ".json").c_str());
    if (std::getenv("KEEP_LOGS") == nullptr) {
      ::unlink((base + ".log").c_str());
    }
  }
  ::rmdir(mFolder.c_str());
}

bool World::HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void World::Note(const std::string& aText)
{
  mRecord.Add(Event{ 0, "case", aText, "", 0, 0, 0, "" });
}

void World::AddPool(const Pool& aPool)
{
  for (int index = 0; index < aPool.mWorkers; index++) {
    WorkerSettings settings = aPool.mSettings;
    const auto number = std::to_string(mWorkers.size() + 1);
    settings.mId = "i-" + aPool.mService + "-" + number;
    settings.mAddress = mNet + std::to_string(100 + mWorkers.size());
    settings.mService = aPool.mService;
    settings.mZone =
      "zone-" + std::string(1, static_cast<char>('a' + index % 3));
    settings.mRack = "r-" + number;
    mWorkers.push_back(std::make_unique<Worker>(settings, mStore, mRecord));
  }
}

void World::Configure(const std::vector<Route>& aRoutes)
{
  json routes = json::array();
  std::set<std::string> names;
  for (const Route& route : aRoutes) {
    names.insert(route.mService);
    routes.push_back({ { "name", "r-" + std::to_string(routes.size()) },
                       { "host", kHost },
                       { "path_prefix", route.mPrefix },
                       { "kind", "unsafe" },
                       { "timeout_ms", kClientTimeoutMs },
                       { "target_duration_ms", 1000 },
                       { "priority", route.mPriority },
                       { "service", route.mService },
                       { "max_attempts", route.mMaxAttempts },
                       { "stretch", 2.0 } });
  }
  json services = json::array();
  for (const std::string& name : names) {
    services.push_back({ { "name", name },
                         { "health_path", "/health" },
                         { "connection_limit", 64 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "cold_start_s", 0.0 },
                         { "cold_per_s", 0.0 },
                         { "enforces_capacity", false },
                         { "spare", false } });
  }
  mStore.Put("keyed.op",
             "config",
             json{ { "version", 7 },
                   { "routes", routes },
                   { "services", services },
                   { "limits",
                     { { "header_bytes", 16384 },
                       { "body_bytes", 262144 },
                       { "header_timeout_ms", 3000 },
                       { "idle_timeout_ms", 15000 } } } }
               .dump());
}

std::string World::WriteSettings(int aIndex, const Entry& aEntry)
{
  const std::string zone =
    "zone-" + std::string(1, static_cast<char>('a' + aIndex));
  const auto at = [&](uint16_t aPort) {
    return aEntry.mAddress + ":" + std::to_string(aPort);
  };
  const json settings{
    { "node", "frontend-" + zone + "-1" },
    { "role", "entry" },
    { "machine_class", "frontend" },
    { "serves", { "frontend" } },
    { "ip", aEntry.mAddress },
    { "zone", zone },
    { "region", "region-1" },
    { "internal_ports", { 7720, 7735 } },
    { "bootstrap", true },
    { "discovery", "platform" },
    { "entry", "virtual_ip" },
    { "heartbeat_ms", 1100 },
    { "contracts", { "base", "drain", "config", "cost", "recover", "sched" } },
    { "orders", "call" },
    { "listen",
      { { "front", at(aEntry.mFront) }, { "ready", at(aEntry.mReady) } } },
    { "limits",
      { { "cpu_share", 0.25 }, { "cores", 1 }, { "memory_mb", 260 } } },
    { "bounds",
      { { "grace_s", 6 }, { "max_hold_ms", 10000 }, { "status_s", 120 } } },
    { "platform",
      { { "address", mNet + "1:" + std::to_string(mStore.Port()) },
        { "form", "log" },
        { "writes_per_s", 800 },
        { "reads_per_s", 2000 },
        { "parts", kParts },
        { "record_bytes", 262144 },
        { "request_bytes", 2097152 },
        { "min_ttl_ms", 1000 } } }
  };
  const std::string path =
    mFolder + "/entry-" + std::to_string(aIndex) + ".json";
  std::ofstream(path) << settings.dump();
  return path;
}

bool World::StartEntries(int aCount)
{
  for (int index = 0; index < aCount; index++) {
    Entry entry;
    entry.mAddress = mNet + std::to_string(11 + index);
    entry.mFront = FreePort(entry.mAddress);
    entry.mReady = FreePort(entry.mAddress);
    entry.mSettings = WriteSettings(index, entry);
    entry.mLog = mFolder + "/entry-" + std::to_string(index) + ".log";
    Spawn(entry);
    mEntries.push_back(entry);
  }
  const int64_t until = NowMs() + kReadyTimeoutMs;
  for (const Entry& entry : mEntries) {
    while (
      Call(
        entry.mAddress, entry.mReady, "GET", "/v1/readiness", kHost, "", 1000)
        .mStatus != 200) {
      if (NowMs() > until || !AllEntriesRun()) {
        Note("an entry process did not become ready");
        return false;
      }
      SleepMs(100);
    }
  }
  Note("all entry processes are ready, logs in " + mFolder);
  return true;
}

void World::Spawn(Entry& aEntry)
{
  const pid_t parent = ::getpid();
  aEntry.mPid = ::fork();
  if (aEntry.mPid != 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(1);
  }
  const int out =
    ::open(aEntry.mLog.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::setenv("MULBERRYVALVE_NODE_FILE", aEntry.mSettings.c_str(), 1);
  std::vector<char*> arguments;
  for (std::string& word : mCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

// A member's name begins with the address at which its peers reach it.
int World::Owner()
{
  const std::string holder = mStore.Holder("owners-0", 0);
  for (size_t index = 0; index < mEntries.size(); index++) {
    if (holder.compare(0,
                       mEntries[index].mAddress.size() + 1,
                       mEntries[index].mAddress + ":") == 0) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

bool World::AllEntriesRun()
{
  for (const Entry& entry : mEntries) {
    if (::waitpid(entry.mPid, nullptr, WNOHANG) != 0) {
      return false;
    }
  }
  return true;
}

Answer World::CallEntries(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody,
                          int aFirst)
{
  Answer answer;
  const int count = EntryCount();
  for (int attempt = 0; attempt < count + 1; attempt++) {
    const Entry& entry = mEntries[(aFirst + attempt) % count];
    answer = Call(entry.mAddress,
                  entry.mFront,
                  aMethod,
                  aPath,
                  kHost,
                  aBody,
                  kClientTimeoutMs);
    mRecord.Add(Event{ 0,
                       "client",
                       aMethod,
                       "",
                       0,
                       0,
                       0,
                       aPath + " -> " + std::to_string(answer.mStatus) +
                         (aMethod == "GET" ? " " + answer.mBody : "") });
    const bool again = answer.mStatus == 0 || answer.mStatus >= 500;
    if (!again) {
      return answer;
    }
    SleepMs(300);
  }
  return answer;
}

Answer World::Submit(const std::string& aPrefix,
                     const std::string& aJob,
                     const std::string& aBody)
{
  return CallEntries("POST", aPrefix + aJob, aBody, mNextEntry++);
}

Answer World::Ask(const std::string& aPath, int aEntry)
{
  return CallEntries("GET", aPath, "", aEntry);
}

std::string World::NewJobId()
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(Random()));
  return text;
}

std::string World::JobBody(const std::string& aSpecification,
                           int aTasks,
                           int aCpu,
                           const std::string& aLabel,
                           bool aLasts)
{
  json step{ { "count", aTasks },
             { "cpu", aCpu },
             { "mem_mb", 500 },
             { "estimated_ms", 500 } };
  if (!aLabel.empty()) {
    step["required_label"] = aLabel;
  }
  if (aLasts) {
    step["long_running"] = true;
  }
  return json{
    { "specification", aSpecification }, { "steps", json::array({ step }) }
  }.dump();
}

} // namespace review
