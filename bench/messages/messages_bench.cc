// messages_bench: measures the processor time that an owner spends on encoding,
// decoding, metrics and logging, per call, over all threads.
//
//   messages_bench [CALLS]
#include "mulberryvalve/adapters/http/bounded_server.h"
#include "mulberryvalve/adapters/http/http_client_pool.h"
#include "mulberryvalve/adapters/json/job_log_json.h"
#include "mulberryvalve/adapters/log4cplus_log/log4cplus_event_log.h"
#include "mulberryvalve/adapters/metrics/accumulator_metrics.h"
#include "mulberryvalve/adapters/system/steady_clock.h"
#include "mulberryvalve/app/log/bounded_event_log.h"
#include "platform/worker_http_client.h"
#include "platform/worker_list_feed.h"
#include "tests/support/free_port.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <string>
#include <thread>

namespace mulberryvalve {
namespace {

constexpr size_t kDefaultCalls = 20'000;
constexpr uint32_t kStepTasks = 20;
constexpr size_t kWorkers = 490;
constexpr size_t kRunningRows = 10;
constexpr size_t kLogGroup = 500;
constexpr std::chrono::milliseconds kLogPause{ 60 };

// Returns the processor time of all threads of this process.
double ProcessSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

void Measure(const char* aName,
             size_t aCalls,
             const std::function<void(size_t)>& aCall)
{
  const double begin = ProcessSeconds();
  for (size_t i = 0; i < aCalls; i++) {
    aCall(i);
  }
  const double elapsed = ProcessSeconds() - begin;
  std::fprintf(stderr,
               "%-42s %10.0f ns\n",
               aName,
               1e9 * elapsed / static_cast<double>(aCalls));
}

JobGraph MakeJob()
{
  JobGraph job;
  job.mId = JobId("0123456789abcdef");
  job.mQueue = QueueId("north.example/pick-list/");
  job.mRules.mService = ServiceId("pipeline");
  job.mRules.mSlack = Milliseconds(1000);
  job.mSpecification = std::string(75, 'x');
  job.mAcceptedAt.mMilliseconds = 1796383021883;
  for (uint32_t number = 0; number < 2; number++) {
    StepSpec step;
    step.mCount = kStepTasks;
    step.mDemand = Resources{ 1800, 3200, 0 };
    step.mEstimate = Milliseconds(2200);
    step.mCheckpointing = true;
    step.mBestEffort = true;
    step.mImage = ImageId("image-7");
    if (number > 0) {
      step.mDependsOn.push_back(number - 1);
    }
    job.mSteps.push_back(step);
  }
  return job;
}

// Returns a job of two steps of which the first is done.
JobRecord MakeRecord()
{
  JobRecord record;
  record.mId = JobId("0123456789abcdef");
  record.mPhase = JobPhase::kRunning;
  for (uint32_t index = 0; index < kStepTasks; index++) {
    TaskRecord task;
    task.mIndex = index;
    task.mDone = true;
    task.mProcessedEnds.emplace_back(1048577 + index);
    record.mTasks.push_back(task);
  }
  return record;
}

void MeasureRecords(size_t aCalls)
{
  const JobLogJson codec;
  const JobGraph job = MakeJob();
  const KeyedEntry intake = codec.Encode(job);
  const JobRecord record = MakeRecord();
  const KeyedEntry progress = codec.Encode(record);
  size_t bytes = 0;
  Measure("job, encode", aCalls, [&](size_t) {
    bytes += codec.Encode(job).mValue->size();
  });
  Measure("job, decode", aCalls, [&](size_t) {
    bytes += codec.DecodeIntake(intake) ? 1 : 0;
  });
  Measure("progress of 20 tasks, encode", aCalls, [&](size_t) {
    bytes += codec.Encode(record).mValue->size();
  });
  Measure("progress of 20 tasks, decode", aCalls, [&](size_t) {
    bytes += codec.DecodeProgress(progress) ? 1 : 0;
  });
  std::fprintf(stderr, "%zu bytes\n", bytes);
}

std::string EncodedRenewalReply()
{
  std::string text = R"({"clock_ms":482113,"born":1796383021883,"running":[)";
  for (size_t row = 0; row < kRunningRows; row++) {
    text += row == 0 ? "" : ",";
    text += R"(["0123456789abcdef.0.1.)" + std::to_string(row) +
            R"(",1048577,"00000bb87a21d94b",41,1812])";
  }
  return text + R"(],"ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})";
}

// WorkerLog serves a list of workers that does not change.
class WorkerLog : public KeyedLog
{
public:
  Result<KeyedPage> ReadLatest(const TopicPartition&) override
  {
    KeyedPage page;
    for (size_t number = 0; number < kWorkers; number++) {
      page.mEntries.push_back(KeyedEntry{
        "i-" + std::to_string(number),
        R"({"service":"licensing","zone":"ne-a","state":"ready",)"
        R"("capacity":{"cpu":16000,"mem_mb":64000},"born":1796383021883,)"
        R"("labels":["a","r1-3"],"address":"10.2.0.6:7140","slots":8,)"
        R"("version":"7","sequence":4,"cold_remaining_ms":0})" });
    }
    return page;
  }
  Result<KeyedPage> Read(const TopicPartition&, uint64_t, Milliseconds) override
  {
    return KeyedPage{};
  }
  Result<void> Append(const TopicPartition&,
                      const std::vector<KeyedEntry>&) override
  {
    return Done();
  }
  Result<void> AppendAt(const TopicPartition&,
                        uint64_t,
                        const std::vector<KeyedEntry>&) override
  {
    return Done();
  }
  Result<void> AppendFenced(const AppendFence&,
                            const std::vector<KeyedEntry>&) override
  {
    return Done();
  }
};

void MeasureWorkers(size_t aCalls, EventLog& aEvents)
{
  const std::string answer = EncodedRenewalReply();
  size_t rows = 0;
  Measure("lists of 10 running and 1 ended, decode", aCalls, [&](size_t) {
    rows += DecodeRenewalReply(answer).value().mRunning.size();
  });
  WorkerLog log;
  const KeyedEntry worker =
    log.ReadLatest(TopicPartition{ KeyedTopic::kWorkers, 0 })
      .value()
      .mEntries.front();
  Measure("worker, decode", aCalls, [&](size_t) {
    rows += DecodeWorker(worker) ? 1 : 0;
  });
  WorkerListFeed records(log, aEvents);
  rows += records.Next().value().size();
  Measure("look at 490 unchanged workers", aCalls / 100, [&](size_t) {
    rows += records.Next().value().size();
  });
  std::fprintf(stderr, "%zu rows\n", rows);
}

// Client and server both run in this process, so the cost is that of both.
void MeasureExchange(size_t aCalls)
{
  const std::string answer = EncodedRenewalReply();
  BoundedServer server(BoundedServerOptions{});
  server.Post("/v1/hold",
              [&](const httplib::Request&, httplib::Response& aOut) {
                aOut.set_content(answer, "application/json");
              });
  const Endpoint endpoint{ "127.0.0.1", FreePort() };
  if (!server.Bind(endpoint)) {
    std::fprintf(stderr, "no exchange: the port is taken\n");
    return;
  }
  server.StartServing();
  HttpClientPool pool(1);
  HttpCall call;
  call.mMethod = HttpMethod::kPost;
  call.mPath = "/v1/hold";
  call.mBody = R"({"fencing_token":64,"seen_upto":58,"until_ms":486000})";
  call.mTimeout = Milliseconds(1000);
  size_t bytes = 0;
  Measure("exchange with a worker, both ends", aCalls, [&](size_t) {
    bytes += pool.Exchange(endpoint, call).mBody.size();
  });
  server.RequestStop();
  server.Join();
  std::fprintf(stderr, "%zu bytes\n", bytes);
}

void MeasureMetrics(size_t aCalls, Metrics& aMetrics)
{
  Measure(
    "counter", aCalls, [&](size_t) { aMetrics.Add(Counter::kLogReads, 1); });
  Measure("timing", aCalls, [&](size_t aNumber) {
    aMetrics.Record(Timing::kAppendUs,
                    Microseconds(static_cast<int64_t>(aNumber * 7919 % 9973)));
  });
}

// Writes events in groups, as the decisions of an owner produce them.
void MeasureEvents(size_t aCalls, EventLog& aEvents)
{
  Measure("event, with its line", aCalls, [&](size_t aNumber) {
    aEvents.Write(EventLevel::kInfo,
                  "task_placed",
                  { { "shard", "0" },
                    { "epoch", "64" },
                    { "job", "0123456789abcdef" },
                    { "task", "0123456789abcdef.0.1.9" },
                    { "run", std::to_string(aNumber) },
                    { "worker", "i-01713d618e" },
                    { "why", "free cpu 12500, filling 0, lasting 1" } });
    if (aNumber % kLogGroup == kLogGroup - 1) {
      std::this_thread::sleep_for(kLogPause);
    }
  });
}

int Run(size_t aCalls)
{
  const SteadyClock clock;
  auto lines = Log4cplusEventLog::Open(
    clock, EventLevel::kInfo, "", LogStream::kStandardOutput);
  if (!lines) {
    return 1;
  }
  BoundedEventLog events(*lines.value(), clock);
  AccumulatorMetrics metrics(clock);
  MeasureRecords(aCalls);
  MeasureWorkers(aCalls, events);
  MeasureExchange(aCalls);
  MeasureMetrics(aCalls, metrics);
  MeasureEvents(aCalls, events);
  return 0;
}

} // namespace
} // namespace mulberryvalve

int main(int aArgc, char** aArgv)
{
  const long asked = aArgc > 1 ? std::strtol(aArgv[1], nullptr, 10) : 0;
  return mulberryvalve::Run(asked > 0 ? static_cast<size_t>(asked)
                                      : mulberryvalve::kDefaultCalls);
}
