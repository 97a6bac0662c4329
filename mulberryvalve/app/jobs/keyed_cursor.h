// Follows one partition of a keyed log, even if the log expires records that
// were not read yet.
#ifndef MULBERRYVALVE_APP_JOBS_KEYED_CURSOR_H_
#define MULBERRYVALVE_APP_JOBS_KEYED_CURSOR_H_

#include "mulberryvalve/ports/out/keyed_log.h"

#include <optional>
#include <vector>

namespace mulberryvalve {

// Records returned by one read.
struct KeyedChanges
{
  std::vector<KeyedEntry> mEntries;
  // The entries are a snapshot with the newest record of every key. Keys that
  // are missing have been deleted.
  bool mIsSnapshot = false;
  // No record that was on the log when the read was sent is left to be read.
  bool mReachesEnd = true;
};

// Not thread-safe.
class KeyedCursor
{
public:
  // aLog must outlive this object. Starts with a snapshot if aNext has no
  // value.
  KeyedCursor(KeyedLog& aLog,
              TopicPartition aPlace,
              std::optional<uint64_t> aNext)
    : mLog(aLog)
    , mPlace(aPlace)
    , mNext(aNext)
  {
  }

  // Returns the records that follow, waiting up to aWait for the first one.
  // Returns a snapshot if the log has expired some of them or if they can't be
  // decoded. Errors: those of KeyedLog except kOffsetExpired.
  Result<KeyedChanges> Next(Milliseconds aWait);

  // Returns the offset up to which the records have been returned.
  // Precondition: Next has succeeded.
  uint64_t Position() const { return *mNext; }

private:
  Result<KeyedChanges> ReadSnapshot();

  KeyedLog& mLog;
  const TopicPartition mPlace;
  std::optional<uint64_t> mNext;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_KEYED_CURSOR_H_
