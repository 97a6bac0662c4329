// EntryCluster: the entry program as several processes beside the stand-ins of
// review/ for the users' platform and workers.
#ifndef TESTS_ENTRY_ENTRY_CLUSTER_H_
#define TESTS_ENTRY_ENTRY_CLUSTER_H_

#include "mulberryvalve/core/base/time.h"
#include "review/standins-3/world.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberryvalve {

// Not thread-safe. Its processes and its folder go with it.
class EntryCluster
{
public:
  // Starts the stand-ins and three instances, and waits until these are ready.
  // Throws std::runtime_error if they do not become ready.
  EntryCluster(size_t aWorkers, size_t aRackSize, uint32_t aShards);
  ~EntryCluster();
  EntryCluster(const EntryCluster&) = delete;
  EntryCluster& operator=(const EntryCluster&) = delete;

  // Hands in a job of one step, whose tasks work for aWork or, without one, for
  // ever. Returns whether it was accepted.
  bool Submit(const std::string& aJob,
              const nlohmann::json& aStep,
              std::optional<Milliseconds> aWork);

  // Kills the owner of a shard. Returns false if none was found in time.
  bool KillOwnerOf(uint32_t aShard);

  review::World& World() { return *mWorld; }
  size_t RunningOf(const std::string& aJob) const
  {
    return mWorld->RunningOf(aJob);
  }

  // Returns the runs of which a member ended so, by number.
  std::set<uint64_t> RunsThatEnded(const std::string& aHow);

  // Returns the starts of tasks that ran at another worker at that time.
  std::vector<std::string> DoubleStarts();

private:
  std::string OwnerOf(uint32_t aShard) const;

  std::string mFolder;
  std::unique_ptr<review::World> mWorld;
};

// Polls aCondition until it holds or aLimit has passed; returns whether it
// held.
bool PollUntil(Milliseconds aLimit, const std::function<bool()>& aCondition);

} // namespace mulberryvalve

#endif // TESTS_ENTRY_ENTRY_CLUSTER_H_
