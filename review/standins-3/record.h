// The record of a case: what was sent, answered and run, with its time.
#ifndef REVIEW_STANDINS_3_RECORD_H_
#define REVIEW_STANDINS_3_RECORD_H_

#include <chrono>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>

namespace review {

using Steady = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Record writes lines to a file. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::chrono::duration<double> at = Steady::now() - mBegin;
    mFile << std::fixed << std::setprecision(3) << std::setw(8) << at.count()
          << " " << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  const Steady::time_point mBegin = Steady::now();
};

} // namespace review

#endif // REVIEW_STANDINS_3_RECORD_H_
