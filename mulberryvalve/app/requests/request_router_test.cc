#include "mulberryvalve/app/requests/request_path_fake.h"

#include <future>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSlots = 2;
constexpr size_t kRequests = 12;
constexpr Milliseconds kServiceTime{ 150 };
constexpr Milliseconds kShortDeadline{ 60 };
constexpr Milliseconds kPoll{ 2 };

} // namespace

TEST_GROUP(RequestRouter)
{
  LogFake mLog;
  UpstreamsFake mWorkers{ kSlots };
  std::unique_ptr<RequestPathFake> mFirst = MakeInstance("e-0");
  std::unique_ptr<RequestPathFake> mSecond = MakeInstance("e-1");

  std::unique_ptr<RequestPathFake> MakeInstance(const std::string& aName)
  {
    return std::make_unique<RequestPathFake>(
      aName, mLog, mWorkers, MakeUpstreams(2, kSlots));
  }

  void SetUpstreamReply(
    SendResult aResult, int aStatus, const std::string& aBody)
  {
    mWorkers.SetReply(UpstreamReply{ aResult, aStatus, aBody, false },
                      kServiceTime);
  }
};

TEST(RequestRouter, DuplicateOnAnotherInstanceGetsTheFirstResponse)
{
  SetUpstreamReply(SendResult::kAnswered, 200, "paid");
  auto first =
    std::async(std::launch::async, [&] { return mFirst->Call("k"); });
  const RequestOutcome second = mSecond->Call("k");
  CHECK(first.get().mBody == "paid");
  CHECK(second.mBody == "paid");
  LONGS_EQUAL(1, mWorkers.RunCount("k"));
  CHECK(mSecond->Call("k").mBody == "paid");
  LONGS_EQUAL(1, mWorkers.RunCount("k"));
}

TEST(RequestRouter, DuplicateIsUnknownAtItsOwnDeadline)
{
  SetUpstreamReply(SendResult::kAnswered, 200, "paid");
  auto first =
    std::async(std::launch::async, [&] { return mFirst->Call("k"); });
  StopSignal pause;
  while (mWorkers.RunCount("k") == 0) {
    pause.WaitUntil(std::chrono::steady_clock::now() + kPoll);
  }
  const RequestOutcome second = mSecond->Call("k", kShortDeadline);
  CHECK(second.mStatus == RequestStatus::kUnknown);
  CHECK(second.mReason == RequestReason::kKeyInFlight);
  first.get();
}

TEST(RequestRouter, LostRequestIsUnknownAndNeverRerun)
{
  SetUpstreamReply(SendResult::kLost, 0, "");
  for (RequestPathFake* instance :
       { mFirst.get(), mSecond.get(), mFirst.get() }) {
    CHECK(instance->Call("k").mStatus == RequestStatus::kUnknown);
  }
  LONGS_EQUAL(1, mWorkers.RunCount("k"));
}

TEST(RequestRouter, ResponseThatTheLogCannotStoreIsUnknownForDuplicates)
{
  SetUpstreamReply(SendResult::kAnswered, 200, "\xff\xfe");
  CHECK(mFirst->Call("k").mBody == "\xff\xfe");
  const RequestOutcome second = mSecond->Call("k");
  CHECK(second.mStatus == RequestStatus::kUnknown);
  CHECK(second.mReason == RequestReason::kAnswerNotKept);
  LONGS_EQUAL(1, mWorkers.RunCount("k"));
}

TEST(RequestRouter, OnlyADeclaredFirstAttemptIsNotRunInAnOutage)
{
  mFirst->Call("k");
  mLog.SetOutage(true);
  mSecond = nullptr;
  mSecond = MakeInstance("e-2");
  const RequestOutcome again = mSecond->Call("k", kShortDeadline);
  CHECK(again.mStatus == RequestStatus::kUnknown);
  CHECK(again.mReason == RequestReason::kLogUnavailable);
  CHECK(mSecond->Call("new", kShortDeadline, true).mStatus ==
        RequestStatus::kNotRun);
  CHECK(mSecond->Call("", kShortDeadline).mStatus == RequestStatus::kAnswered);
  mLog.SetOutage(false);
  LONGS_EQUAL(1, mWorkers.RunCount("k"));
  LONGS_EQUAL(0, mWorkers.RunCount("new"));
}

TEST(RequestRouter, QueuesForSlotsWithoutExceedingThem)
{
  SetUpstreamReply(SendResult::kAnswered, 200, "done");
  std::vector<std::future<RequestOutcome>> outcomes;
  outcomes.reserve(kRequests);
  for (int i = 0; i < static_cast<int>(kRequests); i++) {
    outcomes.push_back(
      std::async(std::launch::async, [&] { return mFirst->Call(""); }));
  }
  for (auto& outcome : outcomes) {
    CHECK(outcome.get().mStatus == RequestStatus::kAnswered);
  }
  CHECK(mWorkers.MaxConcurrentRuns() <= kSlots);
}

TEST(RequestRouter, RequestThatCannotMeetItsDeadlineIsNotRun)
{
  SetUpstreamReply(SendResult::kAnswered, 200, "done");
  std::vector<std::future<RequestOutcome>> outcomes;
  outcomes.reserve(kRequests);
  for (int i = 0; i < 6; i++) {
    outcomes.push_back(std::async(std::launch::async, [&] {
      return mFirst->Call("", kServiceTime * 2 / 3);
    }));
  }
  int notRun = 0;
  for (auto& outcome : outcomes) {
    notRun += outcome.get().mStatus == RequestStatus::kNotRun ? 1 : 0;
  }
  LONGS_EQUAL(2, notRun);
  LONGS_EQUAL(4, mWorkers.RunCount(""));
}

TEST(RequestRouter, NothingIsRunWithoutABundle)
{
  UpstreamSnapshot view = MakeUpstreams(2, kSlots);
  view.mHasBundle = false;
  RequestPathFake instance("e-3", mLog, mWorkers, view);
  CHECK(instance.Call("").mStatus == RequestStatus::kNotRun);
  CHECK(instance.Call("k").mStatus == RequestStatus::kUnknown);
  CHECK(instance.Call("k", kShortDeadline, true).mReason ==
        RequestReason::kNotReady);
  LONGS_EQUAL(0, mWorkers.RunCount(""));
  LONGS_EQUAL(0, mWorkers.RunCount("k"));
}

} // namespace mulberryvalve
