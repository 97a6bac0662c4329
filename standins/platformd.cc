// platformd: a stand-in for the platform, with its log service and its list of
// worker instances.

#include <cstdio>

#include "standins/base/daemon.h"
#include "standins/http/http_server.h"
#include "standins/platform_api/platform_api.h"

using namespace mulberryvalve::standins;

namespace {

constexpr size_t kMaxAppendBytes = size_t{ 8 } << 20;

struct Settings
{
  Endpoint mListen;
  int mAppendsPerSecond = 400;
  int mRetentionRecords = 0;
  int mListLagMs = 500;
};

bool ParseSettings(int aArgc, const char** aArgv, Settings& aSettings)
{
  FlagSet flags;
  flags.Add("listen", aSettings.mListen, "endpoint to serve, IP:PORT");
  flags.Add("appends-per-second",
            aSettings.mAppendsPerSecond,
            "appends admitted in any second; 0 for no limit");
  flags.Add("retention-records",
            aSettings.mRetentionRecords,
            "newest records kept of a stream; 0 for all");
  flags.Add(
    "list-lag-ms", aSettings.mListLagMs, "lag of the instance list, in ms");
  return flags.Parse(aArgc, aArgv) && aSettings.mAppendsPerSecond >= 0 &&
         aSettings.mRetentionRecords >= 0 && aSettings.mListLagMs >= 0;
}

} // namespace

int main(int argc, const char** argv)
{
  Settings settings;
  if (!ParseSettings(argc, argv, settings)) {
    return 2;
  }
  BlockTerminationSignals();
  const SystemClock clock;
  LogStore log(static_cast<uint64_t>(settings.mRetentionRecords));
  AppendRateLimiter rateLimit(static_cast<size_t>(settings.mAppendsPerSecond),
                              clock);
  InstanceList instances(Milliseconds(settings.mListLagMs), clock);
  PlatformApi api(log, rateLimit, instances, clock);
  HttpServerOptions options;
  options.mMaxBodyBytes = kMaxAppendBytes;
  HttpServer server(options, api);
  const auto endpoint = server.Bind(settings.mListen);
  if (!endpoint) {
    std::fprintf(
      stderr, "cannot listen on %s\n", ToString(settings.mListen).c_str());
    return 1;
  }
  server.Start();
  std::printf("platformd listening on %s\n", ToString(*endpoint).c_str());
  std::fflush(stdout);
  WaitForTerminationSignal();
  api.Stop();
  server.Stop();
  return 0;
}
