// History: what was seen from outside during one schedule, in plain types.
#ifndef MULBERRYVALVE_TESTS_SCHEDULES_HISTORY_H_
#define MULBERRYVALVE_TESTS_SCHEDULES_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace schedules {

// ResourceAmount is processor, memory and accelerators.
struct ResourceAmount
{
  int64_t mCpu = 0;
  int64_t mMemory = 0;
  int64_t mAccelerators = 0;
};

// Run is one attempt as a worker ran it; times are microseconds of the world.
struct Run
{
  std::string mTask;
  uint64_t mAttempt = 0;
  std::string mWorker;
  std::string mDomain;
  int64_t mBegin = 0;
  int64_t mEnd = INT64_MAX;
  bool mCompleted = false;
  bool mFailed = false;
  // When the end became durable in the log; INT64_MAX when never.
  int64_t mRecorded = INT64_MAX;
};

// DomainRecord is a change of a domain in the log, in offset order.
struct DomainRecord
{
  std::string mDomain;
  bool mOut = false;
  uint64_t mOffset = 0;
  uint64_t mExpected = 0;
  int64_t mDurable = 0;
  // What tells one operator's change from every other.
  std::string mChange;
};

// BundleRecord is a publication or a sign-off in the log, in offset order.
struct BundleRecord
{
  bool mSignOff = false;
  uint64_t mVersion = 0;
  uint64_t mExpected = 0;
  uint64_t mOffset = 0;
};

// OperatorReply is whether an operator was told that a change of a domain won.
struct OperatorReply
{
  std::string mChange;
  bool mWon = false;
};

// Sample is what one life of an instance held to be in force.
struct Sample
{
  std::string mLife;
  uint64_t mBundle = 0;
  std::map<std::string, uint64_t> mDomains;
  bool mFinal = false;
};

// History is all that the checker looks at.
struct History
{
  std::map<std::string, ResourceAmount> mCapacity;
  std::map<std::string, ResourceAmount> mDemand;
  std::vector<Run> mRuns;
  std::vector<std::string> mAccepted;
  std::vector<DomainRecord> mDomainRecords;
  std::vector<BundleRecord> mBundleRecords;
  std::vector<OperatorReply> mOperatorReplies;
  std::vector<Sample> mSamples;
};

// CheckHistory returns one line a broken promise, beginning with its number.
std::vector<std::string> CheckHistory(const History& aHistory);

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_HISTORY_H_
