#include "standins/log_store/log_store.h"

#include <thread>

#include "standins/log_store/append_rate_limiter.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve::standins;

namespace {

constexpr uint64_t kKeepAll = 0;

SteadyTime NoWait()
{
  return SteadyTime::min();
}

} // namespace

TEST_GROUP(LogStore){};

TEST(LogStore, AppendAssignsContiguousOffsets)
{
  LogStore log(kKeepAll);
  log.Append("a", { "1" });
  const AppendRange range = log.Append("a", { "2", "3" });
  LONGS_EQUAL(2, range.mFirst);
  LONGS_EQUAL(4, range.mNext);
}

TEST(LogStore, ReadsARange)
{
  struct Row
  {
    uint64_t mFrom;
    uint64_t mLimit;
    bool mExpired;
    size_t mRecords;
  };
  // Five records in a stream that retains three: offsets 3 to 5.
  const Row rows[] = {
    { 2, 10, true, 0 },  { 3, 10, false, 3 }, { 3, 2, false, 2 },
    { 5, 10, false, 1 }, { 6, 10, false, 0 }, { 9, 10, false, 0 },
  };
  LogStore log(3);
  log.Append("a", { "1", "2", "3", "4", "5" });
  for (const Row& row : rows) {
    const ReadResult result =
      log.Read("a", { row.mFrom, row.mLimit }, NoWait());
    CHECK_EQUAL(row.mExpired, !result);
    if (!result) {
      LONGS_EQUAL(3, result.error().mOldest);
      continue;
    }
    LONGS_EQUAL(3, result.value().mOldest);
    LONGS_EQUAL(6, result.value().mNext);
    LONGS_EQUAL(row.mRecords, result.value().mRecords.size());
  }
}

TEST(LogStore, AnUnknownStreamIsEmpty)
{
  LogStore log(kKeepAll);
  const ReadResult result = log.Read("a", { 1, 10 }, NoWait());
  LONGS_EQUAL(1, result.value().mNext);
  LONGS_EQUAL(0, result.value().mRecords.size());
}

TEST(LogStore, AppendWakesWaitingReader)
{
  LogStore log(kKeepAll);
  std::thread writer([&log] { log.Append("a", { "1" }); });
  const SteadyTime deadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(30);
  const ReadResult result = log.Read("a", { 1, 10 }, deadline);
  writer.join();
  LONGS_EQUAL(1, result.value().mRecords.size());
  CHECK(std::chrono::steady_clock::now() < deadline);
}

TEST(LogStore, LimitsAppendsInAnySlidingSecond)
{
  ManualClock clock;
  AppendRateLimiter limit(2, clock);
  CHECK(limit.TryAcquire());
  clock.Advance(Milliseconds(600));
  CHECK(limit.TryAcquire());
  CHECK(!limit.TryAcquire());
  clock.Advance(Milliseconds(400));
  CHECK(limit.TryAcquire());
  CHECK(!limit.TryAcquire());
}
