#include "mulberryvalve/core/requests/request_schedule_fake.h"

#include <cstdio>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint64_t kSeeds = 5000;
constexpr uint64_t kSeedsPerBug = 500;

bool AnsweredByOtherCall(const RequestHistory& aHistory,
                         uint64_t aId,
                         const ObservedCall& aCall)
{
  for (const ObservedRun& run : aHistory.mRuns) {
    if (aCall.mReportedStatus == "answered" && run.mAnswer == aCall.mAnswer) {
      return run.mCallId != aId;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(RequestSchedule){};

TEST(RequestSchedule, NoSeedViolatesTheGuarantees)
{
  uint64_t statusCounts[3] = { 0, 0, 0 };
  uint64_t replayed = 0;
  for (uint64_t seed = 1; seed <= kSeeds; seed++) {
    RequestSchedule schedule(seed, InjectedBug::kNone);
    const RequestHistory& history = schedule.Run();
    const RequestViolation violation = FindViolation(history);
    if (violation != RequestViolation::kNone) {
      std::printf("seed %llu: %s\n",
                  static_cast<unsigned long long>(seed),
                  std::string(kRequestViolationNames.Name(violation)).c_str());
    }
    CHECK(violation == RequestViolation::kNone);
    for (const auto& [id, call] : history.mCalls) {
      const auto status = kRequestStatusNames.Find(call.mReportedStatus);
      replayed += AnsweredByOtherCall(history, id, call) ? 1 : 0;
      statusCounts[status ? static_cast<size_t>(*status) : 0] += status ? 1 : 0;
    }
  }
  // Guards against a simulation that no longer reaches some kind of outcome.
  CHECK(replayed > kSeeds);
  CHECK(statusCounts[0] > kSeeds && statusCounts[1] > kSeeds &&
        statusCounts[2] > kSeeds);
}

TEST(RequestSchedule, CheckerDetectsEachInjectedBug)
{
  struct Row
  {
    InjectedBug mBug;
    RequestViolation mViolation;
  };
  const Row rows[] = {
    { InjectedBug::kSkipsClaim, RequestViolation::kKeyRunTwice },
    { InjectedBug::kRetriesLost, RequestViolation::kNotRunButRan },
    { InjectedBug::kAcceptsMismatchedAnswers, RequestViolation::kWrongAnswer },
    { InjectedBug::kMarksEveryCallFirst, RequestViolation::kNotRunButRan },
  };
  for (const Row& row : rows) {
    uint64_t detected = 0;
    for (uint64_t seed = 1; seed <= kSeedsPerBug; seed++) {
      RequestSchedule schedule(seed, row.mBug);
      detected += FindViolation(schedule.Run()) == row.mViolation ? 1 : 0;
    }
    std::printf(
      "%s: %s in %llu of %llu seeds\n",
      std::string(kInjectedBugNames.Name(row.mBug)).c_str(),
      std::string(kRequestViolationNames.Name(row.mViolation)).c_str(),
      static_cast<unsigned long long>(detected),
      static_cast<unsigned long long>(kSeedsPerBug));
    CHECK(detected > 0);
  }
}

} // namespace mulberryvalve
