#include "tests/entry/entry_cluster.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <httplib.h>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kPollInterval{ 50 };
constexpr Milliseconds kOwnerLimit{ 10000 };

std::vector<std::string> CommandWith(uint32_t aShards)
{
  return { MULBERRYVALVE_ENTRY,
           "--shards=" + std::to_string(aShards),
           "--relay-intake",
           "--move-workers",
           "--pressure-limit=expected-load" };
}

std::string TemporaryFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "entry-test-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no folder for the test");
  }
  return name;
}

} // namespace

EntryCluster::EntryCluster(size_t aWorkers, size_t aRackSize, uint32_t aShards)
  : mFolder(TemporaryFolder())
{
  review::CaseArguments arguments;
  arguments.mFolder = mFolder;
  arguments.mRoot = mFolder;
  arguments.mCommand = CommandWith(aShards);
  mWorld = std::make_unique<review::World>(
    arguments, review::WorkersInRacks(aWorkers, aRackSize));
  if (!mWorld->Ready()) {
    throw std::runtime_error("the instances did not get ready");
  }
}

EntryCluster::~EntryCluster()
{
  mWorld.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(mFolder);
  }
}

bool EntryCluster::Submit(const std::string& aJob,
                          const nlohmann::json& aStep,
                          std::optional<Milliseconds> aWork)
{
  review::StepBehaviour behaviour;
  behaviour.mCount = aStep.value("count", 1U);
  behaviour.mGang = aStep.value("gang", false);
  behaviour.mWork = aWork;
  mWorld->Workers().Describe(aJob + ".0", behaviour);
  return mWorld->Submit(aJob, aStep);
}

// Returns the address of the owner of a shard, or "".
std::string EntryCluster::OwnerOf(uint32_t aShard) const
{
  httplib::Client store("http://" + mWorld->Platform().Endpoint());
  const auto answer =
    store.Get("/v1/log-owners?group=owners-" + std::to_string(aShard));
  const auto view = answer ? nlohmann::json::parse(answer->body, nullptr, false)
                           : nlohmann::json();
  if (!view.is_object() || view.value("parts", nlohmann::json()).empty()) {
    return "";
  }
  // The holder's name begins with its endpoint.
  const auto holder = view["parts"][0][2].get<std::string>();
  return holder.substr(0, holder.find(':'));
}

bool EntryCluster::KillOwnerOf(uint32_t aShard)
{
  return PollUntil(kOwnerLimit, [&] {
    const std::string owner = OwnerOf(aShard);
    const std::vector<review::Entry>& entries = mWorld->Instances().Entries();
    for (size_t index = 0; index < entries.size(); index++) {
      const std::string& front = entries[index].mFront;
      if (!owner.empty() && front.substr(0, front.find(':')) == owner) {
        mWorld->Instances().Signal(index, SIGKILL);
        return true;
      }
    }
    return false;
  });
}

std::set<uint64_t> EntryCluster::RunsThatEnded(const std::string& aHow)
{
  std::set<uint64_t> runs;
  for (const review::RunEvent& event : mWorld->Workers().Events()) {
    if (event.mWhat == aHow) {
      runs.insert(event.mRun);
    }
  }
  return runs;
}

std::vector<std::string> EntryCluster::DoubleStarts()
{
  std::map<std::string, std::set<std::string>> runningOn;
  std::vector<std::string> found;
  for (const review::RunEvent& event : mWorld->Workers().Events()) {
    std::set<std::string>& workers = runningOn[event.mTask];
    if (event.mWhat != "start") {
      workers.erase(event.mWorker);
      continue;
    }
    if (!workers.empty()) {
      found.push_back(event.mTask + " started on " + event.mWorker +
                      " beside a run on " + *workers.begin());
    }
    workers.insert(event.mWorker);
  }
  return found;
}

bool PollUntil(Milliseconds aLimit, const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace mulberryvalve
