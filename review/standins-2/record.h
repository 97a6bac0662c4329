// What clients sent, what was answered and what workers ran, in the order in
// which it happened.
#ifndef REVIEW_STANDINS_2_RECORD_H_
#define REVIEW_STANDINS_2_RECORD_H_

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

struct Event
{
  int64_t mAtMs = 0;
  // Who noted it: a worker's id, "client" or "case".
  std::string mWho;
  std::string mWhat;
  std::string mTask;
  int64_t mRun = 0;
  // For an end its number, and for a hold the last end that was seen.
  int64_t mNumber = 0;
  uint64_t mIncarnation = 0;
  std::string mDetail;
};

// Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Add(Event aEvent);
  std::vector<Event> All();

private:
  std::mutex mMutex;
  std::ofstream mFile;
  std::vector<Event> mEvents;
};

} // namespace review

#endif // REVIEW_STANDINS_2_RECORD_H_
