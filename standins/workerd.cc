// workerd: a stand-in for several workers behind one port.

#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "standins/base/daemon.h"
#include "standins/http/http_server.h"
#include "standins/worker_api/registration.h"
#include "standins/worker_api/worker_api.h"

using namespace mulberryvalve::standins;

namespace {

struct Settings
{
  Endpoint mListen;
  Endpoint mPlatform;
  int mCount = 1;
  std::string mPrefix = "worker";
  std::string mDomain;
  int mRacks = 2;
  int mCpuMillis = 16000;
  int mMemoryMb = 61440;
  int mAccelerators = 0;
  int mSlots = 8;
  int mConnections = 64;
  int mUsageLagMs = 2000;
  std::string mRecord;
};

bool ParseSettings(int aArgc, const char** aArgv, Settings& aSettings)
{
  FlagSet flags;
  flags.Add("listen", aSettings.mListen, "endpoint to serve, IP:PORT");
  flags.Add("platform", aSettings.mPlatform, "the platform's IP:PORT");
  flags.Add("count", aSettings.mCount, "number of workers");
  flags.Add("prefix", aSettings.mPrefix, "what the workers' ids begin with");
  flags.Add("domain", aSettings.mDomain, "failure domain");
  flags.Add("racks", aSettings.mRacks, "number of racks");
  flags.Add("cpu-millis", aSettings.mCpuMillis, "processors of a worker");
  flags.Add("memory-mb", aSettings.mMemoryMb, "memory of a worker");
  flags.Add(
    "accelerators", aSettings.mAccelerators, "accelerators of a worker");
  flags.Add("slots", aSettings.mSlots, "requests that a worker runs at once");
  flags.Add("connections", aSettings.mConnections, "connections of a worker");
  flags.Add("usage-lag-ms", aSettings.mUsageLagMs, "lag of usage, in ms");
  flags.Add("record", aSettings.mRecord, "file to append the record to");
  return flags.Parse(aArgc, aArgv) && aSettings.mCount > 0 &&
         aSettings.mRacks > 0 && aSettings.mUsageLagMs >= 0;
}

std::string NewBootId()
{
  std::random_device random;
  const std::string first = std::to_string(random());
  const std::string second = std::to_string(random());
  return first + "-" + second;
}

std::vector<WorkerSettings> MakeWorkers(const Settings& aSettings)
{
  const std::string boot = NewBootId();
  std::vector<WorkerSettings> workers;
  for (int i = 0; i < aSettings.mCount; ++i) {
    WorkerSettings worker;
    worker.mId = aSettings.mPrefix + "-" + std::to_string(i);
    worker.mDomain = aSettings.mDomain;
    worker.mBoot = boot + "-" + std::to_string(i);
    worker.mCpuMillis = aSettings.mCpuMillis;
    worker.mSlots = aSettings.mSlots;
    worker.mUsageLagMs = aSettings.mUsageLagMs;
    workers.push_back(worker);
  }
  return workers;
}

std::vector<Instance> MakeInstances(const Settings& aSettings,
                                    const Endpoint& aEndpoint)
{
  std::vector<Instance> instances;
  for (int i = 0; i < aSettings.mCount; ++i) {
    Instance instance;
    instance.mId = aSettings.mPrefix + "-" + std::to_string(i);
    instance.mAddress = aEndpoint.mAddress;
    instance.mPort = aEndpoint.mPort;
    instance.mDomain = aSettings.mDomain;
    instance.mRack =
      aSettings.mDomain + "-r" + std::to_string(i % aSettings.mRacks);
    instance.mCpuMillis = aSettings.mCpuMillis;
    instance.mMemoryMb = aSettings.mMemoryMb;
    instance.mAccelerators = aSettings.mAccelerators;
    instance.mSlots = aSettings.mSlots;
    instance.mConnections = aSettings.mConnections;
    instances.push_back(instance);
  }
  return instances;
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
  WorkerEventLog record(settings.mRecord);
  if (!record.IsOpen()) {
    std::fprintf(stderr, "cannot open %s\n", settings.mRecord.c_str());
    return 1;
  }
  WorkerFleet fleet(MakeWorkers(settings), clock, record);
  WorkerApi api(fleet, record, clock);
  HttpServer server(HttpServerOptions(), api);
  const auto endpoint = server.Bind(settings.mListen);
  if (!endpoint) {
    std::fprintf(
      stderr, "cannot listen on %s\n", ToString(settings.mListen).c_str());
    return 1;
  }
  server.Start();
  const HttpClient platform(settings.mPlatform);
  const Registration registration(
    MakeInstances(settings, *endpoint), platform, clock);
  std::printf("workerd listening on %s\n", ToString(*endpoint).c_str());
  std::fflush(stdout);
  WaitForTerminationSignal();
  api.Stop();
  server.Stop();
  return 0;
}
