// What the cases have in common: a store, workers, a configuration and the
// instances.
#ifndef REVIEW_STANDINS_3_WORLD_H_
#define REVIEW_STANDINS_3_WORLD_H_

#include "cluster.h"
#include "fleet.h"
#include "record.h"
#include "store.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace review {

// The exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// CaseArguments are the arguments of a case's program: the case's folder, the
// root of the repository and the words of the deploy file's command.
struct CaseArguments
{
  std::string mFolder;
  std::string mRoot;
  std::vector<std::string> mCommand;
  // Whether the disruption is to happen; not with TROUBLE=0.
  bool mHasTrouble = true;
};

CaseArguments ParseArguments(int aArgc, char** aArgv);

// World is the deployment of a case.
class World
{
public:
  World(const CaseArguments& aArguments,
        const std::vector<WorkerSpec>& aWorkers,
        FleetOptions aOptions = FleetOptions());
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Ready returns whether the instances serve.
  bool Ready();

  // Submit hands a job of one step in, and returns whether it was accepted.
  bool Submit(const std::string& aJob, const nlohmann::json& aStep);

  // SubmitOnce tries once and Cancel until the cancellation is acknowledged.
  // Return the last status.
  int SubmitOnce(const std::string& aJob, const nlohmann::json& aStep);
  int Cancel(const std::string& aJob);

  // Ask returns the job's state, asking again while there is no answer.
  std::string Ask(const std::string& aJob);

  // Waiting asks once how many jobs wait; nothing without an answer.
  std::optional<int64_t> Waiting();

  size_t RunningOf(const std::string& aJob) const;

  // Verdict writes aText to the record and returns the exit code.
  int Verdict(bool aIsBroken, const std::string& aText);

  Store& Platform() { return *mStore; }
  Cluster& Workers() { return *mCluster; }
  Fleet& Instances() { return *mFleet; }
  Record& Log() { return mRecord; }

private:
  Record mRecord;
  std::string mTemporary;
  std::unique_ptr<Store> mStore;
  std::unique_ptr<Cluster> mCluster;
  std::unique_ptr<Fleet> mFleet;
};

// Returns workers of 16 cores, aRackSize a rack.
std::vector<WorkerSpec> WorkersInRacks(size_t aCount, size_t aRackSize);

void SleepFor(Ms aTime);

} // namespace review

#endif // REVIEW_STANDINS_3_WORLD_H_
