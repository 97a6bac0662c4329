#include "world.h"

#include <cstdlib>
#include <filesystem>
#include <random>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* kService = "licensing";
constexpr const char* kZone = "ne-a";
constexpr const char* kHost = "kiosk.example";
constexpr const char* kPrefix = "/renewals/";
constexpr int kMaxAttempts = 3;
constexpr Ms kStartTime{ 25000 };
constexpr int kAskTries = 5;

// Returns the first three numbers of loopback addresses that no other run is
// likely to use.
std::string LoopbackNetwork()
{
  std::random_device device;
  const auto part = [&device] { return std::to_string(20 + device() % 200); };
  const std::string second = part();
  const std::string third = part();
  return "127." + second + "." + third + ".";
}

std::string Config()
{
  return json{
    { "version", 3 },
    { "routes",
      { { { "name", "r-1" },
          { "host", kHost },
          { "path_prefix", kPrefix },
          { "kind", "unsafe" },
          { "timeout_ms", 3000 },
          { "target_duration_ms", 1000 },
          { "priority", 0 },
          { "service", kService },
          { "max_attempts", kMaxAttempts },
          { "stretch", 2.0 } } } },
    { "services",
      { { { "name", kService },
          { "health_path", "/health" },
          { "enforces_capacity", false },
          { "spare", false } } } },
    { "limits", { { "header_bytes", 16384 }, { "body_bytes", 262144 } } }
  }.dump();
}

json JobOf(const json& aStep)
{
  return { { "specification", "work" }, { "steps", json::array({ aStep }) } };
}

} // namespace

CaseArguments ParseArguments(int aArgc, char** aArgv)
{
  CaseArguments arguments;
  if (aArgc < 4) {
    std::exit(kCannotRun);
  }
  arguments.mFolder = aArgv[1];
  arguments.mRoot = aArgv[2];
  for (int word = 3; word < aArgc; word++) {
    arguments.mCommand.emplace_back(aArgv[word]);
  }
  const char* trouble = std::getenv("TROUBLE");
  arguments.mHasTrouble = trouble == nullptr || std::string(trouble) != "0";
  return arguments;
}

World::World(const CaseArguments& aArguments,
             const std::vector<WorkerSpec>& aWorkers,
             FleetOptions aOptions)
  : mRecord(aArguments.mFolder + "/record.txt")
{
  std::string name =
    (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  mTemporary = ::mkdtemp(name.data());
  const std::string network = LoopbackNetwork();
  mStore = std::make_unique<Store>(network + "250");
  mStore->Put("keyed.op", "config", Config());
  mCluster = std::make_unique<Cluster>(
    *mStore, mRecord, kService, kZone, network + "251", aWorkers);
  FleetOptions options = std::move(aOptions);
  options.mCommand = aArguments.mCommand;
  options.mRoot = aArguments.mRoot;
  options.mFolder = mTemporary;
  options.mNetwork = network;
  mFleet = std::make_unique<Fleet>(options, *mStore, mRecord);
}

World::~World()
{
  mFleet.reset();
  mCluster.reset();
  mStore.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(mTemporary);
  }
}

bool World::Ready()
{
  return mFleet->AwaitReady(kStartTime);
}

bool World::Submit(const std::string& aJob, const json& aStep)
{
  return mFleet->Submit(kHost, kPrefix + aJob, JobOf(aStep)) == 200;
}

int World::SubmitOnce(const std::string& aJob, const json& aStep)
{
  return mFleet->SubmitOnce(kHost, kPrefix + aJob, JobOf(aStep));
}

int World::Cancel(const std::string& aJob)
{
  int status = 0;
  for (int tries = 0; tries < kAskTries && status != 200; tries++) {
    status = mFleet->Cancel(kHost, kPrefix + aJob);
  }
  return status;
}

std::string World::Ask(const std::string& aJob)
{
  JobState state;
  for (int tries = 0; tries < kAskTries && state.mStatus != 200; tries++) {
    state = mFleet->Ask(kHost, kPrefix + aJob);
  }
  return state.mStatus == 200 ? state.mState
                              : "status " + std::to_string(state.mStatus);
}

std::optional<int64_t> World::Waiting()
{
  return mFleet->Ask(kHost, kPrefix).mWaiting;
}

size_t World::RunningOf(const std::string& aJob) const
{
  size_t count = 0;
  for (const RunningTask& running : mCluster->Running()) {
    count += running.mTask.rfind(aJob + ".", 0) == 0 ? 1 : 0;
  }
  return count;
}

int World::Verdict(bool aIsBroken, const std::string& aText)
{
  mRecord.Line((aIsBroken ? "BROKEN " : "HELD ") + aText);
  return aIsBroken ? kBroken : kHeld;
}

std::vector<WorkerSpec> WorkersInRacks(size_t aCount, size_t aRackSize)
{
  std::vector<WorkerSpec> workers;
  for (size_t number = 0; number < aCount; number++) {
    WorkerSpec spec;
    spec.mId = "i-" + std::to_string(100 + number);
    spec.mRack = "r1-" + std::to_string(number / aRackSize + 1);
    workers.push_back(spec);
  }
  return workers;
}

void SleepFor(Ms aTime)
{
  std::this_thread::sleep_for(aTime);
}

} // namespace review
