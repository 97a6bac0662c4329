// History: the externally visible events of one schedule, in plain types that
// the checker shares with no code under test.
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

// Run is one attempt of a task on a worker; times are simulated microseconds.
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
  // When the end became durable in the log; INT64_MAX if it never did.
  int64_t mEndDurableAt = INT64_MAX;
};

// DomainRecord is a change of a domain in the log, in offset order.
struct DomainRecord
{
  std::string mDomain;
  bool mOut = false;
  uint64_t mOffset = 0;
  uint64_t mExpected = 0;
  int64_t mDurableAt = 0;
  // Identifies the change.
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

// OperatorReply is what an operator was told about a change of a domain.
struct OperatorReply
{
  std::string mChange;
  bool mReportedApplied = false;
};

// Sample is the configuration in force at one incarnation of an instance at one
// time.
struct Sample
{
  std::string mLife;
  uint64_t mBundle = 0;
  std::map<std::string, uint64_t> mDomains;
  bool mFinal = false;
};

// History is the input of the checker.
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

// Returns one line for each violation, which begins with the number of the
// guarantee.
std::vector<std::string> CheckHistory(const History& aHistory);

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_HISTORY_H_
