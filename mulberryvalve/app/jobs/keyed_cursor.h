// KeyedCursor: follows one partition of the keyed log, whatever the log
// forgets.
#ifndef MULBERRYVALVE_APP_JOBS_KEYED_CURSOR_H_
#define MULBERRYVALVE_APP_JOBS_KEYED_CURSOR_H_

#include "mulberryvalve/ports/out/keyed_log.h"

#include <optional>
#include <vector>

namespace mulberryvalve {

// KeyedChanges is what a cursor found next.
struct KeyedChanges
{
  std::vector<KeyedEntry> mEntries;
  // The entries are the newest of all keys: a key without one is gone.
  bool mIsWhole = false;
};

// KeyedCursor is for one thread.
class KeyedCursor
{
public:
  // aLog must outlive this object. Without a position it begins with the newest
  // record of each key.
  KeyedCursor(KeyedLog& aLog, KeyedPlace aPlace, std::optional<uint64_t> aNext)
    : mLog(aLog)
    , mPlace(aPlace)
    , mNext(aNext)
  {
  }

  // Next returns the records that follow, waiting up to aWait for one. When the
  // log has forgotten some, or what it holds here can't be read, it begins
  // again with the newest of each key. Errors: those of KeyedLog but
  // kOffsetExpired.
  Result<KeyedChanges> Next(Milliseconds aWait);

private:
  Result<KeyedChanges> ReadSnapshot();

  KeyedLog& mLog;
  const KeyedPlace mPlace;
  std::optional<uint64_t> mNext;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_KEYED_CURSOR_H_
