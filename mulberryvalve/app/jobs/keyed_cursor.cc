#include "mulberryvalve/app/jobs/keyed_cursor.h"

#include <utility>

namespace mulberryvalve {

Result<KeyedChanges> KeyedCursor::Next(Milliseconds aWait)
{
  if (!mNext) {
    return Whole();
  }
  Result<KeyedPage> page = mLog.Read(mPlace, *mNext, aWait);
  if (!page) {
    if (page.error().mKind == FailureKind::kOffsetExpired) {
      return Whole();
    }
    return page.error();
  }
  mNext = page.value().mNext;
  return KeyedChanges{ std::move(page.value().mEntries), false };
}

Result<KeyedChanges> KeyedCursor::Whole()
{
  Result<KeyedPage> page = mLog.Newest(mPlace);
  if (!page) {
    return page.error();
  }
  mNext = page.value().mNext;
  return KeyedChanges{ std::move(page.value().mEntries), true };
}

} // namespace mulberryvalve
