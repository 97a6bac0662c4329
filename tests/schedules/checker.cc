#include "tests/schedules/history.h"

#include <algorithm>
#include <set>

namespace schedules {
namespace {

constexpr int64_t kStartAfterOutLimit = 2'500'000;
constexpr int kMaxFailures = 5;

using Findings = std::vector<std::string>;

std::string Describe(const Run& aRun)
{
  return aRun.mTask + "#" + std::to_string(aRun.mAttempt) + " on " +
         aRun.mWorker + " [" + std::to_string(aRun.mBegin) + ", " +
         std::to_string(aRun.mEnd) + ")";
}

// Guarantee 1: no worker runs more than its capacity. Usage only rises at a
// start, so the demand is summed there.
void CheckCapacity(const History& aHistory, Findings& aFindings)
{
  for (const Run& at : aHistory.mRuns) {
    ResourceAmount sum;
    for (const Run& other : aHistory.mRuns) {
      if (other.mWorker == at.mWorker && other.mBegin <= at.mBegin &&
          at.mBegin < other.mEnd) {
        const ResourceAmount& demand = aHistory.mDemand.at(other.mTask);
        sum.mCpu += demand.mCpu;
        sum.mMemory += demand.mMemory;
        sum.mAccelerators += demand.mAccelerators;
      }
    }
    const ResourceAmount& capacity = aHistory.mCapacity.at(at.mWorker);
    if (sum.mCpu > capacity.mCpu || sum.mMemory > capacity.mMemory ||
        sum.mAccelerators > capacity.mAccelerators) {
      aFindings.push_back("1: overcommitted by " + Describe(at));
    }
  }
}

// Guarantee 2: attempts of a task do not overlap. Guarantee 3: attempts are not
// repeated or resumed. aRuns are the runs of one task, sorted by begin.
void CheckRuns(const std::vector<Run>& aRuns, Findings& aFindings)
{
  int64_t completedAt = INT64_MAX;
  std::set<uint64_t> attempts;
  for (size_t i = 0; i < aRuns.size(); i++) {
    for (size_t j = i + 1; j < aRuns.size(); j++) {
      if (aRuns[j].mBegin < aRuns[i].mEnd) {
        aFindings.push_back("2: " + Describe(aRuns[i]) + " overlaps " +
                            Describe(aRuns[j]));
      }
    }
    if (!attempts.insert(aRuns[i].mAttempt).second) {
      aFindings.push_back("3: started twice: " + Describe(aRuns[i]));
    }
    if (aRuns[i].mAttempt < *attempts.rbegin()) {
      aFindings.push_back("3: an older attempt resumed: " + Describe(aRuns[i]));
    }
    if (aRuns[i].mBegin > completedAt) {
      aFindings.push_back("3: resumed after its end: " + Describe(aRuns[i]));
    }
    if (aRuns[i].mCompleted) {
      completedAt = std::min(completedAt, aRuns[i].mEndDurableAt);
    }
  }
}

// Guarantee 3, continued: every accepted task completes or uses up its
// failures.
void CheckEnds(const History& aHistory, Findings& aFindings)
{
  std::map<std::string, std::vector<Run>> byTask;
  for (const Run& run : aHistory.mRuns) {
    byTask[run.mTask].push_back(run);
  }
  for (auto& [task, runs] : byTask) {
    std::sort(runs.begin(), runs.end(), [](const Run& aL, const Run& aR) {
      return aL.mBegin < aR.mBegin;
    });
    CheckRuns(runs, aFindings);
  }
  for (const std::string& task : aHistory.mAccepted) {
    int failures = 0;
    bool completed = false;
    for (const Run& run : byTask[task]) {
      failures += run.mFailed ? 1 : 0;
      completed =
        completed || (run.mCompleted && run.mEndDurableAt != INT64_MAX);
    }
    if (!completed && failures < kMaxFailures) {
      aFindings.push_back("3: lost: " + task);
    }
  }
}

// Guarantee 4: no task starts in a domain later than kStartAfterOutLimit after
// the record that took the domain out became durable.
void CheckDomains(const History& aHistory, Findings& aFindings)
{
  std::map<std::string, const DomainRecord*> last;
  std::map<std::string, int64_t> outSince;
  std::set<std::string> effective;
  const auto check = [&](const std::string& aDomain, int64_t aTo) {
    for (const Run& run : aHistory.mRuns) {
      if (run.mDomain == aDomain && run.mBegin < aTo &&
          run.mBegin > outSince[aDomain] + kStartAfterOutLimit) {
        aFindings.push_back("4: started in a domain taken out: " +
                            Describe(run));
      }
    }
  };
  for (const DomainRecord& record : aHistory.mDomainRecords) {
    const DomainRecord*& known = last[record.mDomain];
    if (record.mExpected != (known == nullptr ? 0 : known->mOffset)) {
      continue;
    }
    const bool wasOut = known != nullptr && known->mOut;
    known = &record;
    effective.insert(record.mChange);
    if (record.mOut && !wasOut) {
      outSince[record.mDomain] = record.mDurableAt;
    } else if (!record.mOut && wasOut) {
      check(record.mDomain, record.mDurableAt);
    }
  }
  for (const auto& [domain, record] : last) {
    if (record != nullptr && record->mOut) {
      check(domain, INT64_MAX);
    }
  }
  for (const OperatorReply& told : aHistory.mOperatorReplies) {
    if (told.mReportedApplied != (effective.count(told.mChange) != 0)) {
      aFindings.push_back("10: told wrongly: " + told.mChange);
    }
  }
}

// Computes the final configuration from the log, independently of the code
// under test.
Sample ExpectedConfig(const History& aHistory)
{
  Sample expected;
  for (const DomainRecord& record : aHistory.mDomainRecords) {
    uint64_t& offset = expected.mDomains[record.mDomain];
    offset = record.mExpected == offset ? record.mOffset : offset;
  }
  uint64_t newest = 0;
  std::set<uint64_t> published;
  for (const BundleRecord& record : aHistory.mBundleRecords) {
    if (record.mSignOff) {
      const bool known = published.count(record.mVersion) != 0;
      expected.mBundle =
        known ? std::max(expected.mBundle, record.mVersion) : expected.mBundle;
    } else if (record.mExpected == newest && record.mVersion > newest) {
      newest = record.mVersion;
      published.insert(newest);
    }
  }
  return expected;
}

// Guarantee 10: the configuration of an instance never reverts, and all
// instances converge to the configuration in the log.
void CheckConfig(const History& aHistory, Findings& aFindings)
{
  const Sample expected = ExpectedConfig(aHistory);
  std::map<std::string, Sample> before;
  for (const Sample& sample : aHistory.mSamples) {
    Sample& known = before[sample.mLife];
    if (sample.mBundle < known.mBundle) {
      aFindings.push_back("10: bundle reverted at " + sample.mLife);
    }
    for (const auto& [domain, offset] : known.mDomains) {
      const auto now = sample.mDomains.find(domain);
      if (now == sample.mDomains.end() || now->second < offset) {
        aFindings.push_back("10: domain reverted at " + sample.mLife);
      }
    }
    known = sample;
    if (!sample.mFinal) {
      continue;
    }
    bool converged = sample.mBundle == expected.mBundle;
    for (const auto& [domain, offset] : expected.mDomains) {
      const auto now = sample.mDomains.find(domain);
      converged =
        converged && (now == sample.mDomains.end() ? 0 : now->second) == offset;
    }
    if (!converged) {
      aFindings.push_back("10: not converged at " + sample.mLife);
    }
  }
}

} // namespace

std::vector<std::string> CheckHistory(const History& aHistory)
{
  Findings findings;
  CheckCapacity(aHistory, findings);
  CheckEnds(aHistory, findings);
  CheckDomains(aHistory, findings);
  CheckConfig(aHistory, findings);
  return findings;
}

} // namespace schedules
