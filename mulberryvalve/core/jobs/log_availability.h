// Decides, from the calls to a log so far, whether a further call is worth
// making, worth waiting for, or to be refused at once.
#ifndef MULBERRYVALVE_CORE_JOBS_LOG_AVAILABILITY_H_
#define MULBERRYVALVE_CORE_JOBS_LOG_AVAILABILITY_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace mulberryvalve {

// How a call to the log ended.
enum class LogCallEnd
{
  kAnswered, // the log took the call
  kRefused,  // the log is reachable or known to be away; nothing was done
  kLost,     // no answer; the call may have taken effect
};

inline constexpr EnumTable<LogCallEnd, 3> kLogCallEndNames{ { {
  { LogCallEnd::kAnswered, "answered" },
  { LogCallEnd::kRefused, "refused" },
  { LogCallEnd::kLost, "lost" },
} } };

// What an append that is ready should do.
enum class AppendTurn
{
  kSend,   // make the call now
  kWait,   // wait for a call in flight, until WaitUntil at most
  kRefuse, // the log is silent: tell the caller that nothing was sent
};

inline constexpr EnumTable<AppendTurn, 3> kAppendTurnNames{ { {
  { AppendTurn::kSend, "send" },
  { AppendTurn::kWait, "wait" },
  { AppendTurn::kRefuse, "refuse" },
} } };

// Follows the calls of one writer. Normally one call is in flight at a time, so
// a slow log gets no more calls than it answers. If a call is overdue, its
// answer may be lost while new connections work, so one more call may be sent
// beside it. The log is silent if that one is overdue too, or if a call has
// waited in vain and no later one was answered, of any kind. Then most appends
// are refused, and one now and then tries whether the log is back. Not
// synchronised.
class LogAvailability
{
public:
  // A call without an answer for this long is overdue. A slow log answers
  // within a few hundred milliseconds.
  static constexpr Milliseconds kOverdueAfter{ 500 };
  static constexpr size_t kMaxCalls = 2;
  // A silent log is tried at this interval.
  static constexpr Milliseconds kTrialInterval{ 2000 };
  static constexpr Milliseconds kMinRetryDelay{ 1000 };
  static constexpr Milliseconds kMaxRetryDelay{ 3000 };

  // Returns what an append that is ready now should do.
  AppendTurn NextTurn(MonotonicTime aNow) const;

  // Returns when NextTurn may change without an event. Precondition: NextTurn
  // has returned kWait.
  MonotonicTime WaitUntil() const { return *mBegun.rbegin() + kOverdueAfter; }

  // Returns when the oldest call in flight began, or nothing if none is.
  std::optional<MonotonicTime> PendingSince() const
  {
    return mBegun.empty() ? std::nullopt : std::make_optional(*mBegun.begin());
  }

  // Records the begin of a call, and its end. aBegunAt is the time that was
  // passed to OnCallBegan.
  void OnCallBegan(MonotonicTime aNow);
  void OnCallEnded(MonotonicTime aBegunAt, LogCallEnd aEnd, MonotonicTime aNow);

  // Records that the log has answered a call of another kind, which was sent at
  // aSentAt.
  void OnOtherAnswer(MonotonicTime aSentAt);

  // Returns when a caller that is refused now should come back: later the
  // longer the log has been away, since short outages are more frequent than
  // long ones. aSpread, any number, spreads the return of the callers over half
  // of that delay.
  MonotonicTime RetryAt(MonotonicTime aNow, uint64_t aSpread) const;

private:
  static bool IsOverdue(MonotonicTime aBegunAt, MonotonicTime aNow)
  {
    return aNow >= aBegunAt + kOverdueAfter;
  }

  // When the calls in flight began.
  std::multiset<MonotonicTime> mBegun;
  // Optional times without a value are earlier than any other.
  std::optional<MonotonicTime> mLastBegunAt;
  // The begin of the newest call that the log answered, of any kind.
  std::optional<MonotonicTime> mHeardAt;
  // The begin of the newest call that was overdue when it was lost.
  std::optional<MonotonicTime> mSilentAt;
  // Since when no append has been answered, unless the newest was.
  std::optional<MonotonicTime> mAwaySince;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_LOG_AVAILABILITY_H_
