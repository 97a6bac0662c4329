#include "mulberryvalve/app/jobs/keyed_cursor.h"

#include <utility>

namespace mulberryvalve {
namespace {

// Returns whether the same read would always fail in the same way.
bool IsPermanent(FailureKind aKind)
{
  return aKind == FailureKind::kOffsetExpired ||
         aKind == FailureKind::kMalformed;
}

} // namespace

Result<KeyedChanges> KeyedCursor::Next(Milliseconds aWait)
{
  if (!mNext) {
    return ReadSnapshot();
  }
  Result<KeyedPage> page = mLog.Read(mPlace, *mNext, aWait);
  if (!page) {
    if (IsPermanent(page.error().mKind)) {
      return ReadSnapshot();
    }
    return page.error();
  }
  mNext = page.value().mNext;
  const bool reachesEnd = page.value().mReachesEnd;
  return KeyedChanges{ std::move(page.value().mEntries), false, reachesEnd };
}

Result<KeyedChanges> KeyedCursor::ReadSnapshot()
{
  Result<KeyedPage> page = mLog.ReadLatest(mPlace);
  if (!page) {
    return page.error();
  }
  mNext = page.value().mNext;
  return KeyedChanges{ std::move(page.value().mEntries), true, true };
}

} // namespace mulberryvalve
