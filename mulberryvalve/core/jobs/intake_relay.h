// Decides, from the appends to a shard's intake so far, whether an instance
// appends itself or relays to the owner of the shard.
#ifndef MULBERRYVALVE_CORE_JOBS_INTAKE_RELAY_H_
#define MULBERRYVALVE_CORE_JOBS_INTAKE_RELAY_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/log_availability.h"

#include <optional>

namespace mulberryvalve {

// How an entry gets to the log.
enum class IntakePath
{
  kOwnAppend, // the instance appends it
  kRelay,     // the owner of the shard appends it
};

inline constexpr EnumTable<IntakePath, 2> kIntakePathNames{ { {
  { IntakePath::kOwnAppend, "own_append" },
  { IntakePath::kRelay, "relay" },
} } };

// Why an instance began to relay.
enum class RelayCause
{
  kSlowAppend, // its newest append took too long
  kTurnedAway, // its newest append was refused
  kNoAnswer,   // its newest append had no answer
};

inline constexpr EnumTable<RelayCause, 3> kRelayCauseNames{ { {
  { RelayCause::kSlowAppend, "slow_append" },
  { RelayCause::kTurnedAway, "turned_away" },
  { RelayCause::kNoAnswer, "no_answer" },
} } };

// Why an instance stopped relaying.
enum class RelayEnd
{
  kOwnAppendFast,
  kOwnerFast,
  kNoOwner,
  kOwnerSilent,
};

inline constexpr EnumTable<RelayEnd, 4> kRelayEndNames{ { {
  { RelayEnd::kOwnAppendFast, "own_append_fast" },
  { RelayEnd::kOwnerFast, "owner_fast" },
  { RelayEnd::kNoOwner, "no_owner" },
  { RelayEnd::kOwnerSilent, "owner_silent" },
} } };

// Follows the appends of one instance to one shard. Not synchronised.
class IntakeRelay
{
public:
  // An append takes about 4 ms. Above this time, 15 times as much, one
  // partition cannot serve the appends of 40 instances.
  static constexpr Milliseconds kSlowAppend{ 60 };
  // Half of kSlowAppend, so that the load which returns does not make the log
  // slow at once.
  static constexpr Milliseconds kFastAppend{ 30 };
  // An instance that was turned away or got no answer does not return to its
  // own appends earlier; the interval at which LogAvailability tries a log.
  static constexpr Milliseconds kMinRelayTime{ 2000 };
  // How long an owner that is lost, or an earlier version, is not asked again.
  static constexpr Milliseconds kOwnerPause{ 2000 };
  // How often at most an instance whose append had no answer appends itself
  // when the owner has failed it. One partition performs 5 appends of 200 ms
  // each second; trials of 40 instances leave the owner one of them.
  static constexpr Milliseconds kOwnTrialInterval{ 10000 };
  // How long the duration of an append tells that of the next.
  static constexpr Milliseconds kMeasureValidFor{ 2000 };

  // Returns the path that the next append takes first.
  IntakePath NextPath(MonotonicTime aNow) const;

  // Returns false if the newest append on aPath is recent and took longer than
  // aLeft.
  bool IsInTime(IntakePath aPath, Milliseconds aLeft, MonotonicTime aNow) const;

  // Records since when the oldest append in flight of this instance has had no
  // answer, or that none is in flight. A slow one counts before it ends, so
  // that callers do not wait for a log that may never answer.
  void OnPending(std::optional<MonotonicTime> aSince, MonotonicTime aNow);

  // Records an append of this instance that ended just now. aTook is the
  // duration of its call, used if it was answered.
  void OnOwnAppend(LogCallEnd aEnd, Milliseconds aTook, MonotonicTime aNow);

  // Records an answer of the owner. aTook is the duration of its newest append,
  // zero if it does not know one. aHeardAt is the sending time of the newest
  // call of this instance that the log answered.
  void OnOwnerAnswer(Milliseconds aTook,
                     MonotonicTime aHeardAt,
                     MonotonicTime aNow);

  // Records that no other instance takes entries as the owner.
  void OnNoOwner(MonotonicTime aNow) { Pause(RelayEnd::kNoOwner, aNow); }

  // Records that the connection to the owner failed.
  void OnOwnerSilent(MonotonicTime aNow)
  {
    Pause(RelayEnd::kOwnerSilent, aNow);
  }

  // Records that the owner gave no answer in time. It is silent if it has
  // answered nothing for kOwnerPause since; its own append may take long.
  void OnOwnerTimeout(MonotonicTime aNow);

  // Returns whether this instance should append itself what the owner did not
  // append.
  bool MayFallBack(MonotonicTime aNow) const;

  // Returns why the instance relays, or nothing if it does not.
  std::optional<RelayCause> Cause() const { return mCause; }

  // Returns why relaying ended last. Precondition: it has ended before.
  RelayEnd LastEnd() const { return mLastEnd; }

private:
  struct Measure
  {
    Milliseconds mTook{};
    std::optional<MonotonicTime> mAt;
  };

  void Begin(RelayCause aCause, MonotonicTime aNow);
  void End(RelayEnd aEnd);
  void Pause(RelayEnd aEnd, MonotonicTime aNow);

  std::optional<RelayCause> mCause;
  // When the newest append of this instance that is a cause ended.
  MonotonicTime mCausedAt;
  // An append of this instance is in flight for longer than kSlowAppend.
  bool mIsPending = false;
  RelayEnd mLastEnd = RelayEnd::kOwnAppendFast;
  // When the owner gave no answer in time for the first time since its last.
  std::optional<MonotonicTime> mUnansweredSince;
  // Until then the owner is not asked.
  std::optional<MonotonicTime> mPausedUntil;
  Measure mOwnAppend;
  Measure mOwnerAppend;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_INTAKE_RELAY_H_
