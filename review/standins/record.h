// Record: the file in which a case notes what was sent, answered and run.
#ifndef MULBERRYVALVE_REVIEW_STANDINS_RECORD_H_
#define MULBERRYVALVE_REVIEW_STANDINS_RECORD_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Steady = std::chrono::steady_clock;

// Returns the milliseconds of the steady clock since the process started.
int64_t NowMs();

// Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  // Writes one line with the present time.
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << NowMs() << " ms " << aText << "\n";
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

} // namespace review

#endif // MULBERRYVALVE_REVIEW_STANDINS_RECORD_H_
