// The system under review as separate processes on loopback addresses, and a
// client of it.
#ifndef REVIEW_STANDINS_3_FLEET_H_
#define REVIEW_STANDINS_3_FLEET_H_

#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// Entry is one instance.
struct Entry
{
  std::string mNode;
  std::string mFront;
  std::string mReady;
  pid_t mPid = -1;
};

// JobState is what a client is told of a job: a status, or 0 without an answer,
// and the state.
struct JobState
{
  int mStatus = 0;
  std::string mState;
  // Of a question for the number of waiting jobs.
  std::optional<int64_t> mWaiting;
};

struct FleetOptions
{
  // The command of the deploy file, and the folder it is run in.
  std::vector<std::string> mCommand;
  std::string mRoot;
  // A folder for settings and the output of the processes.
  std::string mFolder;
  // The first three numbers of the addresses of the instances, "127.A.B.".
  std::string mNetwork;
  size_t mEntries = 3;
  // The share of a core that each instance has.
  double mCores = 0.25;
  int mStatusSeconds = 120;
};

// Fleet starts the instances, and ends them when it is destroyed.
class Fleet
{
public:
  Fleet(FleetOptions aOptions, const Store& aStore, Record& aRecord);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // AwaitReady returns whether all instances were ready within aTime.
  bool AwaitReady(Ms aTime) const;

  // Submit hands a job in, again at other instances while there is no answer,
  // a 502 or 504, or a refusal. Returns the last status.
  int Submit(const std::string& aHost,
             const std::string& aPath,
             const nlohmann::json& aJob);

  JobState Ask(const std::string& aHost, const std::string& aPath);

  // SubmitOnce hands a job in without a second try, and Cancel cancels it.
  // Return the status, or 0 without an answer.
  int SubmitOnce(const std::string& aHost,
                 const std::string& aPath,
                 const nlohmann::json& aJob);
  int Cancel(const std::string& aHost, const std::string& aPath);

  // Signal sends a signal to an instance.
  void Signal(size_t aEntry, int aSignal);

  const std::vector<Entry>& Entries() const { return mEntries; }

private:
  void Start(Entry& aEntry, size_t aNumber, const Store& aStore);

  const FleetOptions mOptions;
  Record& mRecord;
  std::vector<Entry> mEntries;
  size_t mNext = 0;
};

} // namespace review

#endif // REVIEW_STANDINS_3_FLEET_H_
