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
  CHECK(queue.TryEnqueue(1, At(300), 2, At(0)) == AdmissionResult::kQueued);
  CHECK(queue.TryEnqueue(2, At(200), 2, At(0)) == AdmissionResult::kQueued);
  CHECK(queue.TryEnqueue(3, At(100), 2, At(0)) == AdmissionResult::kQueueFull);
  UNSIGNED_LONGS_EQUAL(2, *queue.First());
  queue.Remove(2, At(200), true, At(10));
  UNSIGNED_LONGS_EQUAL(1, *queue.First());
}

TEST(AdmissionQueue, RejectsRequestsThatCannotMeetTheirDeadline)
{
  AdmissionQueue queue;
  queue.RecordServiceTime(Milliseconds(20));
  CHECK(queue.TryEnqueue(1, At(20), 9, At(0)) == AdmissionResult::kTooLate);
  CHECK(queue.TryEnqueue(2, At(21), 9, At(0)) == AdmissionResult::kQueued);
  queue.Remove(2, At(21), true, At(40));
  CHECK(queue.TryEnqueue(3, At(140), 9, At(40)) == AdmissionResult::kQueued);
  CHECK(queue.TryEnqueue(4, At(140), 9, At(40)) == AdmissionResult::kQueued);
  // Two queued requests at 40 ms per grant plus 20 ms of service exceed the 100
  // ms that are left.
  CHECK(queue.TryEnqueue(5, At(140), 9, At(40)) == AdmissionResult::kTooLate);
  CHECK(queue.TryEnqueue(6, At(139), 9, At(40)) == AdmissionResult::kQueued);
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, BoundsRetriesInEveryWindow)
{
  RetryBudget budget;
  RandomFake random(7);
  int64_t retries = 0;
  int64_t firstAttempts = 0;
  for (int64_t ms = 0; ms < 9000; ms++) {
    budget.RecordFirstAttempt(At(ms));
    firstAttempts++;
    retries += budget.TryAcquireRetry(10, At(ms)) ? 1 : 0;
    CHECK(retries * 10 <= firstAttempts || retries <= 3);
  }
  CHECK(retries > 800);
  CHECK_FALSE(budget.TryAcquireRetry(0, At(9000)));
}

TEST(RetryBudget, ExpiresOldFirstAttempts)
{
  RetryBudget budget;
  for (int i = 0; i < 1000; i++) {
    budget.RecordFirstAttempt(At(0));
  }
  int64_t retries = 0;
  while (budget.TryAcquireRetry(10, At(11'000))) {
    retries++;
  }
  LONGS_EQUAL(3, retries);
}

} // namespace mulberryvalve
