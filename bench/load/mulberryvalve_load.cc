// mulberryvalve_load: sends requests over keep-alive connections, in a closed
// loop or at a fixed rate, and prints latencies and outcomes as one line of
// JSON.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using Steady = std::chrono::steady_clock;

constexpr int kMicrosecondsPerSecond = 1'000'000;

// Options are the command-line flags. Without a rate, each connection sends its
// next request as soon as the last one ends. With a direct prefix, requests go
// to the request paths of the workers themselves, in turn.
struct Options
{
  std::string mAddress = "127.0.0.1";
  int mPort = 0;
  int mConnections = 8;
  int mSeconds = 5;
  int mRate = 0;
  int mWorkMs = 0;
  int mDeadlineMs = 2000;
  bool mKeyed = false;
  std::string mDirectPrefix;
  int mWorkers = 1;
};

// CallResults are the latencies and outcomes of one connection.
struct CallResults
{
  std::vector<int64_t> mMicroseconds;
  std::map<std::string, uint64_t> mOutcomes;
};

std::string Path(const Options& aOptions, uint64_t aNumber)
{
  if (aOptions.mDirectPrefix.empty()) {
    return "/v1/request";
  }
  return "/w/" + aOptions.mDirectPrefix + "-" +
         std::to_string(aNumber % static_cast<uint64_t>(aOptions.mWorkers)) +
         "/request";
}

httplib::Headers Headers(const Options& aOptions, const std::string& aId)
{
  httplib::Headers headers{ { "X-Attempt", aId },
                            { "X-Deadline-Ms",
                              std::to_string(aOptions.mDeadlineMs) } };
  if (aOptions.mKeyed) {
    headers.emplace("X-Request-Kind", "non_idempotent");
    headers.emplace("Idempotency-Key", aId);
    headers.emplace("X-First-Ask", "true");
  }
  return headers;
}

// Returns the name of the outcome. A response counts as "ok" only if it echoes
// the id of this request.
std::string Outcome(const httplib::Result& aResult, const std::string& aId)
{
  if (!aResult) {
    return aResult.error() == httplib::Error::Connection ? "not_connected"
                                                         : "no_answer";
  }
  if (aResult->status != 200) {
    const std::string outcome = aResult->get_header_value("X-Outcome");
    return outcome.empty() ? "status_" + std::to_string(aResult->status)
                           : outcome;
  }
  return aResult->body.find("\"" + aId + "\"") == std::string::npos ? "wrong"
                                                                    : "ok";
}

class Caller
{
public:
  Caller(const Options& aOptions, int aIndex, Steady::time_point aBegin)
    : mOptions(aOptions)
    , mIndex(aIndex)
    , mBegin(aBegin)
    , mEnd(aBegin + std::chrono::seconds(aOptions.mSeconds))
    , mClient(aOptions.mAddress, aOptions.mPort)
  {
    mClient.set_keep_alive(true);
    mClient.set_tcp_nodelay(true);
    mClient.set_read_timeout(
      std::chrono::milliseconds(aOptions.mDeadlineMs + 1000));
  }

  void Run()
  {
    for (uint64_t i = 0; Steady::now() < mEnd; i++) {
      Steady::time_point due = Steady::now();
      if (mOptions.mRate > 0) {
        due = mBegin + SendTime(i);
        std::this_thread::sleep_until(due);
      }
      if (due >= mEnd) {
        return;
      }
      Call(i, due);
    }
  }

  const CallResults& Results() const { return mResults; }

private:
  std::chrono::microseconds SendTime(uint64_t aNumber) const
  {
    const auto slot = aNumber * static_cast<uint64_t>(mOptions.mConnections) +
                      static_cast<uint64_t>(mIndex);
    return std::chrono::microseconds(slot * kMicrosecondsPerSecond /
                                     static_cast<uint64_t>(mOptions.mRate));
  }

  // Latency is measured from aDue, so that at a fixed rate it includes the wait
  // for earlier requests of the connection.
  void Call(uint64_t aNumber, Steady::time_point aDue)
  {
    const std::string id = "c" + std::to_string(mIndex) + "-" +
                           std::to_string(aNumber) + "-" +
                           std::to_string(mBegin.time_since_epoch().count());
    const std::string body =
      "{\"work_ms\":" + std::to_string(mOptions.mWorkMs) + ",\"echo\":\"" + id +
      "\"}";
    const auto path =
      Path(mOptions, aNumber * 31 + static_cast<uint64_t>(mIndex));
    const httplib::Result result = mClient.Post(
      path.c_str(), Headers(mOptions, id), body, "application/json");
    const auto elapsed = Steady::now() - aDue;
    mResults.mMicroseconds.push_back(
      std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
    mResults.mOutcomes[Outcome(result, id)]++;
  }

  const Options& mOptions;
  const int mIndex;
  const Steady::time_point mBegin;
  const Steady::time_point mEnd;
  httplib::Client mClient;
  CallResults mResults;
};

CallResults RunCallers(const Options& aOptions)
{
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  const Steady::time_point begin = Steady::now();
  callers.reserve(static_cast<size_t>(aOptions.mConnections));
  threads.reserve(static_cast<size_t>(aOptions.mConnections));
  for (int i = 0; i < aOptions.mConnections; i++) {
    callers.push_back(std::make_unique<Caller>(aOptions, i, begin));
  }
  for (const auto& caller : callers) {
    threads.emplace_back([&caller] { caller->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CallResults all;
  for (const auto& caller : callers) {
    const CallResults& seen = caller->Results();
    all.mMicroseconds.insert(all.mMicroseconds.end(),
                             seen.mMicroseconds.begin(),
                             seen.mMicroseconds.end());
    for (const auto& [outcome, count] : seen.mOutcomes) {
      all.mOutcomes[outcome] += count;
    }
  }
  std::sort(all.mMicroseconds.begin(), all.mMicroseconds.end());
  return all;
}

long long Quantile(const CallResults& aResults, double aPart)
{
  const auto& values = aResults.mMicroseconds;
  if (values.empty()) {
    return 0;
  }
  return values[static_cast<size_t>(static_cast<double>(values.size() - 1) *
                                    aPart)];
}

void Print(const Options& aOptions, const CallResults& aResults)
{
  std::printf("{\"rps\":%.0f,\"p50_us\":%lld,\"p99_us\":%lld,\"p999_us\":%lld",
              static_cast<double>(aResults.mMicroseconds.size()) /
                aOptions.mSeconds,
              Quantile(aResults, 0.5),
              Quantile(aResults, 0.99),
              Quantile(aResults, 0.999));
  for (const auto& [outcome, count] : aResults.mOutcomes) {
    std::printf(
      ",\"%s\":%llu", outcome.c_str(), static_cast<unsigned long long>(count));
  }
  std::printf("}\n");
}

bool Parse(int aArgc, char** aArgv, Options& aOptions)
{
  for (int i = 1; i + 1 < aArgc; i += 2) {
    const std::string flag = aArgv[i];
    const std::string value = aArgv[i + 1];
    const std::map<std::string, int*> numbers{
      { "--port", &aOptions.mPort },
      { "--connections", &aOptions.mConnections },
      { "--seconds", &aOptions.mSeconds },
      { "--rate", &aOptions.mRate },
      { "--work-ms", &aOptions.mWorkMs },
      { "--deadline-ms", &aOptions.mDeadlineMs },
      { "--workers", &aOptions.mWorkers }
    };
    const auto number = numbers.find(flag);
    if (number != numbers.end()) {
      *number->second = std::atoi(value.c_str());
    } else if (flag == "--address") {
      aOptions.mAddress = value;
    } else if (flag == "--direct-prefix") {
      aOptions.mDirectPrefix = value;
    } else if (flag == "--keyed") {
      aOptions.mKeyed = value == "true";
    } else {
      return false;
    }
  }
  return aOptions.mPort > 0 && aOptions.mConnections > 0 &&
         aOptions.mSeconds > 0 && aOptions.mWorkers > 0 && aArgc % 2 == 1;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  Options options;
  if (!Parse(aArgc, aArgv, options)) {
    std::fprintf(stderr,
                 "flags: --port N [--address IP] [--connections N] "
                 "[--seconds N] [--rate N] [--work-ms N] [--deadline-ms N] "
                 "[--keyed true] [--direct-prefix NAME --workers N]\n");
    return 2;
  }
  Print(options, RunCallers(options));
  return 0;
}
