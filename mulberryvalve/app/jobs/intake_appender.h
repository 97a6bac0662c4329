// Appends entries to the intake of a shard, itself or through the owner.
#ifndef MULBERRYVALVE_APP_JOBS_INTAKE_APPENDER_H_
#define MULBERRYVALVE_APP_JOBS_INTAKE_APPENDER_H_

#include "mulberryvalve/app/jobs/intake_batchers.h"
#include "mulberryvalve/app/jobs/intake_relay_client.h"

#include <optional>

namespace mulberryvalve {

// Whether an instance relays entries while its own appends are slow or fail.
enum class IntakeRelaying
{
  kOff,
  kOn,
};

inline constexpr EnumTable<IntakeRelaying, 2> kIntakeRelayingNames{ { {
  { IntakeRelaying::kOff, "off" },
  { IntakeRelaying::kOn, "on" },
} } };

// Ports of IntakeAppender. All references must outlive it.
struct IntakeAppenderPorts
{
  KeyedLog& mLog;
  IntakeRelayClientPorts mRelay;
};

// Thread-safe.
class IntakeAppender
{
public:
  // The delay before an attempt is repeated.
  static constexpr Milliseconds kRetryDelay{ 100 };

  IntakeAppender(ShardNumber aShards,
                 IntakeAppenderPorts aPorts,
                 IntakeRelaying aRelaying);

  // Makes one attempt: on the path that IntakeRelay says and, if that one
  // fails, on the other while time is left. Nothing is sent from aDeadline on.
  // Errors: kLogAnswerLost (the entry may have been appended on a path, or may
  // be later), kTooLarge, kLogUnavailable and the other errors of
  // KeyedLog::Append (nothing was appended on any path).
  Result<void> Attempt(ShardNumber aShard,
                       const KeyedEntry& aEntry,
                       MonotonicTime aDeadline);

  // Returns whether there is time for an append of this instance that begins
  // after kRetryDelay.
  bool IsTimeToRepeat(MonotonicTime aAttemptedAt,
                      MonotonicTime aDeadline) const;

  IntakeBatchers& Batchers() { return mBatchers; }

private:
  IntakePath NextPath(ShardNumber aShard, const KeyedEntry& aEntry);
  Result<void> AttemptOn(IntakePath aPath,
                         ShardNumber aShard,
                         const KeyedEntry& aEntry,
                         MonotonicTime aDeadline);
  bool IsWorthTrying(IntakePath aPath,
                     ShardNumber aShard,
                     const KeyedEntry& aEntry,
                     MonotonicTime aAttemptedAt,
                     MonotonicTime aDeadline,
                     const Result<void>& aFirst);
  Result<void> AppendHere(ShardNumber aShard,
                          const KeyedEntry& aEntry,
                          MonotonicTime aDeadline);

  IntakeAppenderPorts mPorts;
  IntakeBatchers mBatchers;
  // Without a value the instance relays nothing.
  std::optional<IntakeRelayClient> mRelay;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_INTAKE_APPENDER_H_
