// Tests of what is not asked for again while promised workers are on their way.
#include "mulberryvalve/core/jobs/room_promises.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

RoomDemand Demand(const std::string& aLabel, uint32_t aCount)
{
  RoomDemand demand;
  demand.mService = ServiceId("service");
  demand.mRequiredLabel = WorkerLabel(aLabel);
  demand.mDemand = Resources{ 1000, 1000, 0 };
  demand.mLongRunning = true;
  demand.mCount = aCount;
  return demand;
}

RoomDemand ShortDemand(uint32_t aCount)
{
  RoomDemand demand = Demand("", aCount);
  demand.mLongRunning = false;
  return demand;
}

RoomRequest Request(std::vector<RoomDemand> aDemands)
{
  RoomRequest request;
  request.mDemands = std::move(aDemands);
  return request;
}

} // namespace

TEST_GROUP(RoomPromisesTest)
{
  MonotonicTime mNow{ std::chrono::seconds(100) };
  RoomPromises mPromises;

  uint32_t Unpromised(const RoomDemand& aDemand)
  {
    return mPromises.Unpromised(aDemand, mNow);
  }
};

// Guards against tasks that lapse a moment after others and wait for seconds,
// as nothing was asked for while the others' workers were on their way.
TEST(RoomPromisesTest, TasksBeyondThePromisedOnesAreAskedForAtOnce)
{
  mPromises.Add(Request({ Demand("", 3) }), Request({}), 3, mNow);
  CHECK_EQUAL(0U, Unpromised(Demand("", 3)));
  CHECK_EQUAL(2U, Unpromised(Demand("", 5)));
  CHECK_EQUAL(4U, Unpromised(Demand("label", 4)));
}

TEST(RoomPromisesTest, WhatGotNoRoomIsNotPromised)
{
  mPromises.Add(Request({ Demand("", 3), Demand("label", 2) }),
                Request({ Demand("", 1), Demand("label", 2) }),
                2,
                mNow);
  CHECK_EQUAL(1U, Unpromised(Demand("", 3)));
  CHECK_EQUAL(2U, Unpromised(Demand("label", 2)));
}

TEST(RoomPromisesTest, PromisesAddUp)
{
  mPromises.Add(Request({ Demand("", 3) }), Request({}), 3, mNow);
  mNow += Milliseconds(500);
  mPromises.Add(Request({ Demand("", 2) }), Request({}), 2, mNow);
  CHECK_EQUAL(1U, Unpromised(Demand("", 6)));
  mNow += Milliseconds(2500);
  CHECK_EQUAL(4U, Unpromised(Demand("", 6)));
}

TEST(RoomPromisesTest, APromiseThatIsNotKeptEnds)
{
  mPromises.Add(Request({ Demand("", 3) }), Request({}), 3, mNow);
  mNow += Milliseconds(2999);
  CHECK_EQUAL(0U, Unpromised(Demand("", 3)));
  mNow += Milliseconds(1);
  CHECK_EQUAL(3U, Unpromised(Demand("", 3)));
}

// Tasks that lapse later are not taken for those whose workers have come.
TEST(RoomPromisesTest, APromiseEndsSoonAfterItsLastWorkerHasCome)
{
  mPromises.Add(Request({ Demand("", 3) }), Request({}), 2, mNow);
  mPromises.OnArrival(mNow);
  mNow += Milliseconds(1000);
  CHECK_EQUAL(0U, Unpromised(Demand("", 3)));
  mPromises.OnArrival(mNow);
  CHECK_EQUAL(0U, Unpromised(Demand("", 3)));
  mNow += Milliseconds(1000);
  CHECK_EQUAL(3U, Unpromised(Demand("", 3)));
}

TEST(RoomPromisesTest, AnArrivalThatNobodyPromisedChangesNothing)
{
  mPromises.OnArrival(mNow);
  mPromises.Add(Request({ Demand("", 3) }), Request({}), 1, mNow);
  mPromises.OnArrival(mNow);
  mPromises.OnArrival(mNow);
  CHECK_EQUAL(0U, Unpromised(Demand("", 3)));
}

// A shard that keeps half of its idle workers is not asked again and again.
TEST(RoomPromisesTest, ABacklogAsksAgainOnlyWhenThePromiseIsOver)
{
  mPromises.Add(
    Request({ ShortDemand(100) }), Request({ ShortDemand(90) }), 1, mNow);
  mPromises.OnArrival(mNow);
  mNow += Milliseconds(2999);
  CHECK_EQUAL(0U, Unpromised(ShortDemand(90)));
  CHECK_EQUAL(90U, Unpromised(Demand("", 90)));
  mNow += Milliseconds(1);
  CHECK_EQUAL(90U, Unpromised(ShortDemand(90)));
}

// An answer may name fewer or more tasks than were asked for.
TEST(RoomPromisesTest, AnswersThatNameOtherTasksAreHarmless)
{
  RoomRequest request = Request({ Demand("", 3), Demand("label", 2) });
  RoomAnswer answer;
  answer.mTasks = { 7 };
  TakeOff(answer, request);
  CHECK_EQUAL(2U, TasksOf(request));
  CHECK_EQUAL(1U, request.mDemands.size());
  answer.mTasks = { 1, 7, 9 };
  TakeOff(answer, request);
  CHECK_EQUAL(1U, TasksOf(request));
}

} // namespace mulberryvalve
