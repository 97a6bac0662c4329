// A small deployment for a case: a store, workers and entry processes.
#ifndef REVIEW_STANDINS_2_WORLD_H_
#define REVIEW_STANDINS_2_WORLD_H_

#include "worker.h"

#include <atomic>
#include <sys/types.h>

namespace review {

struct Pool
{
  std::string mService;
  int mWorkers = 0;
  WorkerSettings mSettings;
};

struct Route
{
  std::string mPrefix;
  std::string mService;
  int mPriority = 0;
  int mMaxAttempts = 3;
};

// Command line of a case: PROGRAM RECORD-FILE ENTRY-PROGRAM ARGUMENT...
class World
{
public:
  World(int aArgc, char** aArgv);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Returns whether the case is to be played with its disruption.
  static bool HasTrouble();

  void AddPool(const Pool& aPool);
  // Writes the configuration; all routes are on one host.
  void Configure(const std::vector<Route>& aRoutes);
  // Starts aCount entry processes and waits until all are ready. Returns false
  // if that fails.
  bool StartEntries(int aCount);
  bool AllEntriesRun();

  // Returns the entry that owns the shard, or -1.
  int Owner();

  // Calls an entry process as a client would; tries the others in turn after
  // no answer, 502, 503 and 504. Returns the last answer.
  Answer Submit(const std::string& aPrefix,
                const std::string& aJob,
                const std::string& aBody);
  Answer Ask(const std::string& aPath, int aEntry = 0);

  static std::string NewJobId();
  static std::string JobBody(const std::string& aSpecification,
                             int aTasks,
                             int aCpu,
                             const std::string& aLabel = "",
                             bool aLasts = false);

  Store& PlatformStore() { return mStore; }
  Record& Events() { return mRecord; }
  std::vector<std::unique_ptr<Worker>>& Workers() { return mWorkers; }
  void Note(const std::string& aText);
  pid_t EntryPid(int aEntry) const { return mEntries[aEntry].mPid; }
  int EntryCount() const { return static_cast<int>(mEntries.size()); }

private:
  struct Entry
  {
    std::string mAddress;
    uint16_t mFront = 0;
    uint16_t mReady = 0;
    pid_t mPid = 0;
    std::string mSettings;
    std::string mLog;
  };

  void Spawn(Entry& aEntry);
  std::string WriteSettings(int aIndex, const Entry& aEntry);
  Answer CallEntries(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody,
                     int aFirst);

  std::string mFolder;
  std::vector<std::string> mCommand;
  std::string mNet;
  Record mRecord;
  Store mStore;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<Entry> mEntries;
  std::atomic<int> mNextEntry{ 0 };
};

void SleepMs(int64_t aMilliseconds);

} // namespace review

#endif // REVIEW_STANDINS_2_WORLD_H_
