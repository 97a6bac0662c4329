#include "mulberryvalve/app/jobs/append_pace.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const AppendPace::Time kAppendedAt{ std::chrono::seconds(1000) };
const AppendPace::Time kLatest = kAppendedAt + Milliseconds(100);

AppendPace PaceAfterAppend()
{
  AppendPace pace;
  pace.OnAppended(kAppendedAt);
  return pace;
}

} // namespace

TEST_GROUP(AppendPaceTest){};

// Guards against starts that wait for a pause between two appends (issue 40):
// half of the jobs had their first start 15 to 50 ms later than before.
TEST(AppendPaceTest, AppendThatStartsWaitForIsNotPutOff)
{
  const AppendPace pace = PaceAfterAppend();
  CHECK(pace.NextAt(AppendDemand::kStarts, kLatest) <= kAppendedAt);
}

TEST(AppendPaceTest, ChangesThatNoStartWaitsForAreGrouped)
{
  const AppendPace pace = PaceAfterAppend();
  CHECK(pace.NextAt(AppendDemand::kChanges, kLatest) ==
        kAppendedAt + AppendPace::kMinInterval);
  CHECK(pace.NextAt(AppendDemand::kNone, kLatest) == kLatest);
}

TEST(AppendPaceTest, FirstAppendIsNotPutOff)
{
  CHECK(AppendPace().NextAt(AppendDemand::kChanges, kLatest) < kAppendedAt);
}

} // namespace mulberryvalve
