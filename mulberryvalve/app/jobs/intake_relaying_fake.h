// Fakes for tests of relayed submissions: instances that share a log and an
// owner, with links that can be made to fail.
#ifndef MULBERRYVALVE_APP_JOBS_INTAKE_RELAYING_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_INTAKE_RELAYING_FAKE_H_

#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/intake_group_commit.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include <atomic>
#include <future>

namespace mulberryvalve {

// What happens to a query on its way.
enum class LinkState
{
  kUp,
  kCut,          // the connection breaks, and nothing arrives
  kNoConnection, // nothing can be sent
  kAnswerLost,   // the query arrives, its answer does not
  kNotListening, // the owner's process has ended
};

// Says what the test sets. Thread-safe.
class SetOwners : public ShardOwners
{
public:
  explicit SetOwners(bool aOwns)
    : mOwns(aOwns)
  {
  }
  MonotonicTime LastContact() const override { return MonotonicTime(); }
  std::optional<Endpoint> OwnerOf(ShardNumber) const override
  {
    return mIsOwnerKnown ? std::make_optional(Endpoint{ "10.0.0.1", 1 })
                         : std::nullopt;
  }
  void InvalidateOwner(ShardNumber) override { mInvalidations++; }
  void OnPeerAnswer(ShardNumber, const PeerQueryResult&) override {}
  PeerQueryResult OnQuery(const PeerQuery&) override
  {
    PeerQueryResult answer;
    answer.mOwns = mOwns;
    return answer;
  }

  std::atomic<bool> mOwns;
  std::atomic<bool> mIsOwnerKnown{ true };
  std::atomic<int> mInvalidations{ 0 };
};

// A link to an owner. Thread-safe.
class LinkToOwner : public PeerQueryClient
{
public:
  explicit LinkToOwner(PeerIntakeHandler& aOwner)
    : mOwner(aOwner)
  {
  }
  Result<PeerQueryResult> Ask(const Endpoint&,
                              const PeerQuery& aQuery,
                              Milliseconds aTimeout) override
  {
    mQueries++;
    if (mState == LinkState::kNotListening) {
      return Fail(FailureKind::kPeerNotListening);
    }
    if (mState == LinkState::kNoConnection) {
      return Fail(FailureKind::kNotReady);
    }
    if (mState == LinkState::kCut) {
      return Fail(FailureKind::kPeerUnreachable);
    }
    auto answer = std::make_shared<std::promise<PeerQueryResult>>();
    std::future<PeerQueryResult> future = answer->get_future();
    mOwner.OnIntake(aQuery, [answer](const PeerQueryResult& aResult) {
      answer->set_value(aResult);
    });
    const bool inTime = future.wait_for(aTimeout) == std::future_status::ready;
    if (!inTime || mState == LinkState::kAnswerLost) {
      return Fail(FailureKind::kPeerUnreachable);
    }
    return future.get();
  }

  std::atomic<LinkState> mState{ LinkState::kUp };
  std::atomic<int> mQueries{ 0 };

private:
  PeerIntakeHandler& mOwner;
};

// The owner of the shard with its own view of the log.
struct OwnerInstance
{
  explicit OwnerInstance(KeyedLog& aLog)
    : mLog(aLog)
  {
    mCommit.Start();
  }

  // Relays an entry and waits for the answer.
  IntakeResult Relay(const std::string& aKey,
                     Milliseconds aTimeLeft = kTestTimeout)
  {
    LinkToOwner link(mCommit);
    PeerQuery query;
    query.mKind = PeerQueryKind::kAppendIntake;
    query.mRelayed = RelayedEntry{ { aKey, std::string("value") }, aTimeLeft };
    return *link.Ask(Endpoint(), query, kTestTimeout).value().mIntake;
  }

  RealClock mClock;
  FaultyLog mLog;
  SetOwners mOwners{ true };
  IntakeBatchers mBatchers{ 1, mLog, mClock };
  IntakeGroupCommit mCommit{
    IntakeGroupCommitPorts{ mLog, mBatchers, mOwners, mClock }
  };
};

// An instance that is not the owner, with its own view of the log.
struct RelayingInstance
{
  RelayingInstance(KeyedLog& aLog, PeerIntakeHandler& aOwner)
    : mLog(aLog)
    , mLink(aOwner)
  {
  }

  Result<void> Submit(const char* aJob, Milliseconds aTime = kTestTimeout)
  {
    return mJobs.Submit(SmallJob(aJob), mClock.Now() + aTime);
  }

  RealClock mClock;
  FaultyLog mLog;
  SetOwners mOwners{ false };
  LinkToOwner mLink;
  NoMetrics mMetrics;
  SilentEvents mEvents;
  JobLogJson mCodec;
  JobGraphService mJobs{
    1,
    { mLog, mCodec, mLink, mOwners, mClock, mMetrics, mEvents },
    IntakeRelaying::kOn
  };
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_INTAKE_RELAYING_FAKE_H_
