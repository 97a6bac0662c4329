// Fleet: the platform, the workers and the entry processes of one case.
#ifndef MULBERRYVALVE_REVIEW_STANDINS_FLEET_H_
#define MULBERRYVALVE_REVIEW_STANDINS_FLEET_H_

#include "record.h"
#include "store.h"
#include "worker.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// The exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

struct FleetOptions
{
  int mEntries = 3;
  int mWorkers = 4;
  int64_t mTaskMs = 400;
  // `status_s` of the settings.
  int mStatusS = 120;
};

// CallResult is what a client saw: the status, or 0 without an answer.
struct CallResult
{
  int mStatus = 0;
  std::string mBody;
};

// Not thread-safe. Preconditions: the process runs in the repository root, and
// the deploy file's build has been run.
class Fleet
{
public:
  // The settings files and the entries' logs are written below aFolder.
  Fleet(FleetOptions aOptions, std::string aFolder, Record& aRecord);
  // Ends all processes that were started.
  ~Fleet();

  Store& PlatformStore() { return *mStore; }
  History& Runs() { return mHistory; }
  Worker& WorkerAt(size_t aNumber) { return *mWorkers[aNumber]; }

  // Starts the entries, and waits until each reports ready. Returns false if
  // that takes too long.
  bool Start();

  // Returns the number of the entry that owns the shard, or nothing.
  std::optional<size_t> Owner();

  // Sends a signal to an entry; waits for its end if it is one that ends it.
  void Signal(size_t aEntry, int aSignal);

  // Restarts an entry that has ended, as the platform does.
  void Restart(size_t aEntry);

  // Returns whether every entry process runs still, or was ended by Signal.
  bool AreEntriesAlive();

  // Calls an entry as a client does, over a new connection.
  CallResult Call(size_t aEntry,
                  const std::string& aMethod,
                  const std::string& aJob,
                  const std::string& aBody = "");

  // Hands a job in until an entry answers 200. Returns false if none does.
  bool Submit(const std::string& aJob, const std::string& aBody);

  // Asks the running entries in turn until the job is shown as one of
  // aStates, at most for aWaitMs. Returns the last state, or "".
  std::string AwaitState(const std::string& aJob,
                         const std::vector<std::string>& aStates,
                         int64_t aWaitMs);

private:
  struct Entry
  {
    std::string mAddress;
    std::string mSettings;
    pid_t mPid = 0;
  };

  std::string SettingsOf(size_t aEntry) const;
  void Launch(size_t aEntry);

  const FleetOptions mOptions;
  const std::string mFolder;
  Record& mRecord;
  std::string mNet;
  std::unique_ptr<Store> mStore;
  History mHistory;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<Entry> mEntries;
};

// Waits until aDone returns true, at most for aWaitMs. Returns the last result.
bool Await(int64_t aWaitMs, const std::function<bool()>& aDone);

void SleepMs(int64_t aMs);

// Returns whether the disruption is on: it is, but with TROUBLE=0.
bool HasTrouble();

// Writes the counts to the record and to standard output, and returns the exit
// code.
int Verdict(const RuleCheck& aCheck, Record& aRecord);

} // namespace review

#endif // MULBERRYVALVE_REVIEW_STANDINS_FLEET_H_
