// mulberryvalved: the daemon of one instance. Creates the adapters, runs an
// `Instance` with them and stops it on SIGTERM or SIGINT.
#include "mulberryvalve/adapters/http/caller_server.h"
#include "mulberryvalve/adapters/http/platform_client.h"
#include "mulberryvalve/adapters/http/upstream_client.h"
#include "mulberryvalve/adapters/http/worker_client.h"
#include "mulberryvalve/adapters/json/json_bundle_reader.h"
#include "mulberryvalve/adapters/log4cplus_log/log4cplus_event_log.h"
#include "mulberryvalve/adapters/metrics/accumulator_metrics.h"
#include "mulberryvalve/adapters/settings/instance_settings_reader.h"
#include "mulberryvalve/adapters/system/seeded_random.h"
#include "mulberryvalve/adapters/system/steady_clock.h"
#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"
#include "mulberryvalve/app/instance/instance.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr int kExitFailed = 1;
constexpr size_t kMaxIdlePlatformConnections = 32;
constexpr size_t kMaxIdleWorkerConnections = 64;
constexpr Milliseconds kPlatformTimeout{ 1000 };
constexpr Milliseconds kWorkerTimeout{ 1000 };

void PrintSettingFaults(const std::vector<SettingFault>& aFaults)
{
  for (const SettingFault& fault : aFaults) {
    std::cerr << "setting " << fault.mField << ": "
              << kSettingFaultKindNames.Name(fault.mKind) << ", "
              << kSettingSourceNames.Name(fault.mSource) << " value \""
              << fault.mValue << "\", allowed: " << fault.mAllowed << "\n";
  }
}

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int Serve(const InstanceSettings& aSettings)
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  SteadyClock clock;
  auto log =
    Log4cplusEventLog::Open(clock, aSettings.mLogLevel, aSettings.mLogFile);
  if (!log) {
    std::cerr << "log-file: " << log.error().mDetail << "\n";
    return kExitSettings;
  }
  EventLog& events = *log.value();
  SeededRandom random(aSettings.mRandomSeed);
  AccumulatorMetrics metrics(clock);
  HttpClientPool platformPool(kMaxIdlePlatformConnections);
  HttpClientPool workerPool(kMaxIdleWorkerConnections);
  HttpClientPool upstreamPool(kMaxIdleWorkerConnections);
  PlatformClient platform(aSettings.mPlatform, platformPool, kPlatformTimeout);
  WorkerClient workers(workerPool, kWorkerTimeout);
  UpstreamClient upstreams(upstreamPool, clock);
  JsonBundleReader bundles;
  Instance instance(aSettings,
                    InstancePorts{ platform,
                                   platform,
                                   workers,
                                   upstreams,
                                   bundles,
                                   clock,
                                   random,
                                   metrics,
                                   events });
  WsPeerOptions peerOptions;
  peerOptions.mListen = aSettings.mPeerListen;
  peerOptions.mPeers = aSettings.mPeers;
  WsPeerPort peers(peerOptions, instance.Listener(), events, clock, random);
  CallerServer server(
    CallerServerOptions{ aSettings.mCallerListen,
                         aSettings.mCallerThreads,
                         aSettings.mMaxBodyBytes,
                         aSettings.mRequestDeadline },
    CallerServerPorts{ instance.Requests(),
                       instance.Jobs(),
                       instance.Operators(),
                       clock,
                       [&metrics] { return metrics.Exposition(); } });
  const Result<void> peersStarted = peers.Start();
  const Result<void> serverStarted =
    peersStarted ? server.Start() : peersStarted;
  if (!serverStarted) {
    events.Write(EventLevel::kError,
                 "start_failed",
                 { { "field", serverStarted.error().mField },
                   { "detail", serverStarted.error().mDetail } });
    return kExitFailed;
  }
  instance.Start(peers);
  events.Write(EventLevel::kInfo,
               "started",
               { { "instance", aSettings.mInstance.Text() },
                 { "domain", aSettings.mDomain.Text() } });
  int signal = 0;
  sigwait(&signals, &signal);
  events.Write(
    EventLevel::kInfo, "stopping", { { "signal", std::to_string(signal) } });
  server.BeginDrain();
  instance.BeginStop();
  server.Stop();
  peers.Stop();
  instance.Stop();
  events.Write(EventLevel::kInfo, "stopped", {});
  return kExitOk;
}

int Main(int aArgc, char** aArgv, char** aEnvironment)
{
  std::vector<std::string> environment;
  for (char** entry = aEnvironment; *entry != nullptr; entry++) {
    environment.emplace_back(*entry);
  }
  const SettingsOutcome outcome = ParseSettings(aArgc, aArgv, environment);
  if (!outcome) {
    PrintSettingFaults(outcome.error());
    return kExitSettings;
  }
  const SettingsRequest& request = outcome.value();
  switch (request.mMode) {
    case SettingsMode::kHelp:
      std::cout << InstanceSettingsHelp();
      return kExitOk;
    case SettingsMode::kVersion:
      std::cout << InstanceVersion() << "\n";
      return kExitOk;
    case SettingsMode::kCheckSettings:
      std::cout << "settings are good\n";
      return kExitOk;
    case SettingsMode::kPrintSettings:
      for (const PrintedSetting& row : request.mPrinted) {
        std::cout << row.mName << "=" << row.mValue << " ("
                  << kSettingSourceNames.Name(row.mSource) << ")\n";
      }
      return kExitOk;
    case SettingsMode::kRun:
      break;
  }
  return Serve(request.mSettings);
}

} // namespace
} // namespace mulberryvalve

int main(int aArgc, char** aArgv, char** aEnvironment)
{
  return mulberryvalve::Main(aArgc, aArgv, aEnvironment);
}
