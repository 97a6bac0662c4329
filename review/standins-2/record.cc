#include "record.h"

#include "net.h"

namespace review {

Record::Record(const std::string& aPath)
  : mFile(aPath)
{
}

void Record::Add(Event aEvent)
{
  std::lock_guard<std::mutex> lock(mMutex);
  aEvent.mAtMs = NowMs();
  mFile << aEvent.mAtMs << " " << aEvent.mWho << " " << aEvent.mWhat;
  if (!aEvent.mTask.empty()) {
    mFile << " " << aEvent.mTask << " run=" << aEvent.mRun;
  }
  if (aEvent.mNumber != 0) {
    mFile << " n=" << aEvent.mNumber;
  }
  if (aEvent.mIncarnation != 0) {
    mFile << " life=" << aEvent.mIncarnation;
  }
  mFile << (aEvent.mDetail.empty() ? "" : " ") << aEvent.mDetail << std::endl;
  mEvents.push_back(std::move(aEvent));
}

std::vector<Event> Record::All()
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mEvents;
}

} // namespace review
