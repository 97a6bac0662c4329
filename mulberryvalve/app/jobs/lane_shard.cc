#include "mulberryvalve/app/jobs/lane_shard.h"

#include <chrono>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

} // namespace

LaneShard::LaneShard(LaneHost& aHost, TaskWorkerPort& aPort)
  : mHost(aHost)
  , mPort(aPort)
  , mThread([this] { Run(); })
{
}

LaneShard::~LaneShard()
{
  Stop();
}

void LaneShard::Open(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const Row row = mLanes.try_emplace(aWorker).first;
  row->second.mLane.OpenHolds();
  List(row);
}

void LaneShard::Post(TaskOrder aOrder)
{
  MutexLock lock(mMutex);
  const Row row = mLanes.try_emplace(aOrder.mWorker).first;
  row->second.mLane.Post(std::move(aOrder));
  List(row);
}

void LaneShard::OnDurable(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const Row row = mLanes.find(aWorker);
  if (row != mLanes.end()) {
    row->second.mLane.OnDurable(Steady::now());
    List(row);
  }
}

void LaneShard::BeginStop()
{
  MutexLock lock(mMutex);
  mStopping = true;
  mCond.NotifyAll();
}

void LaneShard::Stop()
{
  BeginStop();
  if (mThread.joinable()) {
    mThread.join();
  }
  MutexLock lock(mMutex);
  while (mUnderWay > 0) {
    mDoneCond.Wait(mMutex);
  }
}

void LaneShard::Run()
{
  while (std::optional<Step> step = AwaitStep()) {
    if (step->mOrder) {
      SendOrder(std::move(*step->mOrder));
    } else {
      SendHold(step->mWorker);
    }
  }
}

// Returns nothing when it is time to stop.
std::optional<LaneShard::Step> LaneShard::AwaitStep()
{
  MutexLock lock(mMutex);
  while (!mStopping) {
    if (std::optional<Step> step = TakeStep(Steady::now())) {
      mUnderWay++;
      return step;
    }
    if (mDue.empty()) {
      mCond.Wait(mMutex);
    } else {
      mCond.WaitUntil(mMutex, mDue.begin()->first);
    }
  }
  return std::nullopt;
}

std::optional<LaneShard::Step> LaneShard::TakeStep(Time aNow)
{
  Step step;
  if (!mDue.empty() && mDue.begin()->first <= aNow) {
    step.mWorker = mDue.begin()->second;
    const Row row = mLanes.find(step.mWorker);
    row->second.mLane.BeginHold();
    List(row);
    return step;
  }
  if (mReady.empty()) {
    return std::nullopt;
  }
  step.mWorker = std::get<WorkerId>(*mReady.begin());
  const Row row = mLanes.find(step.mWorker);
  step.mOrder = row->second.mLane.TakeOrder();
  List(row);
  return step;
}

void LaneShard::SendHold(const WorkerId& aWorker)
{
  std::optional<HoldOrder> order = mHost.NextHold(aWorker);
  if (!order) {
    EndHolds(aWorker);
    return;
  }
  const MonotonicTime sentAt = mHost.Now();
  {
    MutexLock lock(mMutex);
    mLanes.find(aWorker)->second.mHoldSentAt = sentAt;
  }
  mPort.Hold(std::move(*order), *this);
}

void LaneShard::SendOrder(TaskOrder aOrder)
{
  if (mHost.MaySend(aOrder)) {
    mPort.Send(std::move(aOrder), *this);
    return;
  }
  OrderReply reply;
  reply.mOutcome = OrderOutcome::kNotSent;
  OnOrderReply(aOrder, reply);
}

void LaneShard::EndHolds(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const Row row = mLanes.find(aWorker);
  row->second.mLane.EndHolds();
  StepDone(row);
}

void LaneShard::OnOrderReply(const TaskOrder& aOrder, const OrderReply& aReply)
{
  mHost.OnOrder(aOrder, aReply);
  MutexLock lock(mMutex);
  const Row row = mLanes.find(aOrder.mWorker);
  row->second.mLane.OrderDone();
  StepDone(row);
}

void LaneShard::OnHoldReply(const HoldOrder& aOrder, const HoldReply& aReply)
{
  MonotonicTime sentAt;
  {
    MutexLock lock(mMutex);
    sentAt = mLanes.find(aOrder.mWorker)->second.mHoldSentAt;
  }
  const bool durable = mHost.OnHold(aOrder, aReply, sentAt);
  MutexLock lock(mMutex);
  const Row row = mLanes.find(aOrder.mWorker);
  row->second.mLane.HoldDone(aOrder, aReply.mOutcome, durable, Steady::now());
  StepDone(row);
}

void LaneShard::StepDone(Row aRow)
{
  List(aRow);
  if (aRow->second.mLane.IsOver()) {
    mLanes.erase(aRow);
  }
  mUnderWay--;
  mDoneCond.NotifyAll();
}

// Puts a lane where it stands now among those that wait.
void LaneShard::List(Row aRow)
{
  ListDue(aRow);
  ListReady(aRow);
}

void LaneShard::ListDue(Row aRow)
{
  Listed& listed = aRow->second;
  std::optional<DueKey> due;
  if (const std::optional<Time> at = listed.mLane.HoldDueAt()) {
    due.emplace(*at, aRow->first);
  }
  if (due == listed.mDue) {
    return;
  }
  if (listed.mDue) {
    mDue.erase(*listed.mDue);
  }
  listed.mDue = std::move(due);
  if (listed.mDue && mDue.insert(*listed.mDue).first == mDue.begin()) {
    mCond.NotifyOne();
  }
}

void LaneShard::ListReady(Row aRow)
{
  Listed& listed = aRow->second;
  const std::optional<LaneUrgency> urgency = listed.mLane.NextUrgency();
  if (urgency && listed.mReady &&
      std::get<LaneUrgency>(*listed.mReady) == *urgency) {
    return;
  }
  if (listed.mReady) {
    mReady.erase(*listed.mReady);
    listed.mReady.reset();
  }
  if (urgency) {
    listed.mReady.emplace(*urgency, mNumber++, aRow->first);
    mReady.insert(*listed.mReady);
    mCond.NotifyOne();
  }
}

} // namespace mulberryvalve
