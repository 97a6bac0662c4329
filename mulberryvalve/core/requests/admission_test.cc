#include "mulberryvalve/core/requests/admission_queue.h"
#include "mulberryvalve/core/requests/random_fake.h"
#include "mulberryvalve/core/requests/retry_budget.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

MonotonicTime At(int64_t aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(AdmissionQueue){};

TEST(AdmissionQueue, EarliestDeadlineIsFirstAndTheQueueIsBounded)
{
  AdmissionQueue queue;
  CHECK(queue.Enter(1, At(300), 2, At(0)) == Admission::kQueued);
  CHECK(queue.Enter(2, At(200), 2, At(0)) == Admission::kQueued);
  CHECK(queue.Enter(3, At(100), 2, At(0)) == Admission::kQueueFull);
  UNSIGNED_LONGS_EQUAL(2, *queue.First());
  queue.Leave(2, At(200), true, At(10));
  UNSIGNED_LONGS_EQUAL(1, *queue.First());
}

TEST(AdmissionQueue, RejectsRequestsThatCannotMeetTheirDeadline)
{
  AdmissionQueue queue;
  queue.OnServed(Milliseconds(20));
  CHECK(queue.Enter(1, At(20), 9, At(0)) == Admission::kTooLate);
  CHECK(queue.Enter(2, At(21), 9, At(0)) == Admission::kQueued);
  queue.Leave(2, At(21), true, At(40));
  CHECK(queue.Enter(3, At(140), 9, At(40)) == Admission::kQueued);
  CHECK(queue.Enter(4, At(140), 9, At(40)) == Admission::kQueued);
  // Two queued requests at 40 ms per grant plus 20 ms of service exceed the 100
  // ms that are left.
  CHECK(queue.Enter(5, At(140), 9, At(40)) == Admission::kTooLate);
  CHECK(queue.Enter(6, At(139), 9, At(40)) == Admission::kQueued);
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, BoundsRetriesInEveryWindow)
{
  RetryBudget budget;
  RandomFake random(7);
  int64_t retries = 0;
  int64_t firstAttempts = 0;
  for (int64_t ms = 0; ms < 9000; ms++) {
    budget.OnFirstTry(At(ms));
    firstAttempts++;
    retries += budget.TryRetry(10, At(ms)) ? 1 : 0;
    CHECK(retries * 10 <= firstAttempts || retries <= 3);
  }
  CHECK(retries > 800);
  CHECK_FALSE(budget.TryRetry(0, At(9000)));
}

TEST(RetryBudget, ExpiresOldFirstAttempts)
{
  RetryBudget budget;
  for (int i = 0; i < 1000; i++) {
    budget.OnFirstTry(At(0));
  }
  int64_t retries = 0;
  while (budget.TryRetry(10, At(11'000))) {
    retries++;
  }
  LONGS_EQUAL(3, retries);
}

} // namespace mulberryvalve
