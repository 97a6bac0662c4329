// worker_call_cost: measures the processor time that an owner spends on its
// calls to workers, per call, over all threads of the sending process. The
// workers are a process of their own.
//
//   worker_call_cost [WORKERS CALLS_PER_SECOND SECONDS]
#include "mulberryvalve/adapters/http/async_http_client.h"
#include "mulberryvalve/adapters/metrics/accumulator_metrics.h"
#include "mulberryvalve/adapters/system/steady_clock.h"
#include "mulberryvalve/core/base/mutex.h"
#include "platform/worker_http_client.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <netinet/tcp.h>
#include <string>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr size_t kDefaultWorkers = 1100;
constexpr size_t kDefaultRate = 6000;
constexpr size_t kDefaultSeconds = 5;
constexpr size_t kRunningRows = 10;
constexpr size_t kClientThreads = 2;
constexpr size_t kIdleConnections = 2;

std::string Response(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string RenewalResponse()
{
  std::string text = R"({"clock_ms":482113,"born":1796383021883,"running":[)";
  for (size_t row = 0; row < kRunningRows; row++) {
    text += row == 0 ? "" : ",";
    text += R"(["0123456789abcdef.0.1.)" + std::to_string(row) +
            R"(",1048577,"00000bb87a21d94b",41,1812])";
  }
  return Response(text + R"(],"ended":[[58,"0123456789abcdef.0.1.9",)"
                         R"(1,"done",""]]})");
}

// Answers each packet of a client as one request.
[[noreturn]] void ServeWorkers(int aListener)
{
  const std::string renewal = RenewalResponse();
  const std::string order =
    Response(R"({"clock_ms":482113,"born":1796383021883})");
  const int poll = epoll_create1(0);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = aListener;
  epoll_ctl(poll, EPOLL_CTL_ADD, aListener, &event);
  std::array<epoll_event, 256> events{};
  std::array<char, 16384> bytes{};
  while (true) {
    const int ready = epoll_wait(poll, events.data(), events.size(), -1);
    for (int i = 0; i < ready; i++) {
      const int socket = events[static_cast<size_t>(i)].data.fd;
      if (socket == aListener) {
        const int accepted = accept(aListener, nullptr, nullptr);
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        event.data.fd = accepted;
        epoll_ctl(poll, EPOLL_CTL_ADD, accepted, &event);
        continue;
      }
      const ssize_t got = recv(socket, bytes.data(), bytes.size(), 0);
      if (got <= 0) {
        close(socket);
        continue;
      }
      const std::string_view request(bytes.data(), static_cast<size_t>(got));
      const std::string& answer =
        request.substr(0, 13) == "POST /v1/hold" ? renewal : order;
      (void)send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
  }
}

class CountingHandler : public WorkerReplyHandler
{
public:
  void OnOrderReply(const TaskOrder&, const OrderReply& aReply) override
  {
    Count(aReply.mOutcome);
  }
  void OnRenewalReply(const RenewalRequest&,
                      const RenewalReply& aReply) override
  {
    Count(aReply.mOutcome);
  }
  std::atomic<size_t> mAccepted{ 0 };
  std::atomic<size_t> mOther{ 0 };

private:
  void Count(OrderOutcome aOutcome)
  {
    (aOutcome == OrderOutcome::kAccepted ? mAccepted : mOther)++;
  }
};

double Seconds(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) * 1e-6;
}

Endpoint EndpointOf(size_t aWorker, uint16_t aPort)
{
  return Endpoint{ "127.0." + std::to_string(1 + aWorker / 200) + "." +
                     std::to_string(1 + aWorker % 200),
                   aPort };
}

TaskOrder MakeStart(size_t aWorker, uint16_t aPort)
{
  TaskOrder order;
  order.mTask = TaskRef{ { JobId("0123456789abcdef"), 0, 1 }, 7 };
  order.mRun = RunNumber(1048577);
  order.mWorker = WorkerId("i-01713d618e");
  order.mEndpoint = EndpointOf(aWorker, aPort);
  order.mEpoch = Epoch(64);
  order.mUntil = WorkerTime{ 486000 };
  order.mSpecification = std::string(75, 'x');
  return order;
}

RenewalRequest MakeRenewal(size_t aWorker, uint16_t aPort)
{
  RenewalRequest order;
  order.mWorker = WorkerId("i-01713d618e");
  order.mEndpoint = EndpointOf(aWorker, aPort);
  order.mEpoch = Epoch(64);
  order.mSeen = EndNumber(58);
  order.mUntil = WorkerTime{ 486000 };
  order.mWait = Milliseconds(500);
  return order;
}

void Measure(size_t aWorkers, size_t aRate, size_t aSeconds, uint16_t aPort)
{
  const SteadyClock clock;
  AccumulatorMetrics metrics(clock);
  CountingHandler handler;
  rusage begin{};
  rusage end{};
  size_t calls = 0;
  {
    AsyncHttpClient client({ kClientThreads, kIdleConnections });
    WorkerHttpClient workers(client, metrics);
    getrusage(RUSAGE_SELF, &begin);
    const auto start = std::chrono::steady_clock::now();
    const size_t total = aRate * aSeconds;
    constexpr size_t kGroup = 20;
    while (calls < total) {
      for (size_t i = 0; i < kGroup; i++, calls++) {
        const size_t worker = calls * 7919 % aWorkers;
        if (calls % 2 == 0) {
          workers.Renew(MakeRenewal(worker, aPort), handler);
        } else {
          workers.Send(MakeStart(worker, aPort), handler);
        }
      }
      std::this_thread::sleep_until(
        start + std::chrono::microseconds(calls * 1'000'000 / aRate));
    }
    while (handler.mAccepted + handler.mOther < total) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    getrusage(RUSAGE_SELF, &end);
  }
  const double user = Seconds(end.ru_utime) - Seconds(begin.ru_utime);
  const double system = Seconds(end.ru_stime) - Seconds(begin.ru_stime);
  const auto count = static_cast<double>(calls);
  std::printf("calls=%zu not_accepted=%zu user_us=%.1f system_us=%.1f "
              "switches=%.2f\n",
              calls,
              handler.mOther.load(),
              user * 1e6 / count,
              system * 1e6 / count,
              static_cast<double>(end.ru_nvcsw - begin.ru_nvcsw) / count);
}

int Run(size_t aWorkers, size_t aRate, size_t aSeconds)
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t size = sizeof address;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 4096) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
        0) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    ServeWorkers(listener);
  }
  close(listener);
  Measure(aWorkers, aRate, aSeconds, ntohs(address.sin_port));
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  return 0;
}

size_t ArgumentOr(int aArgc, char** aArgv, int aIndex, size_t aDefault)
{
  return aIndex < aArgc ? std::strtoul(aArgv[aIndex], nullptr, 10) : aDefault;
}

} // namespace
} // namespace mulberryvalve

int main(int aArgc, char** aArgv)
{
  using namespace mulberryvalve;
  const auto workers = ArgumentOr(aArgc, aArgv, 1, kDefaultWorkers);
  const auto rate = ArgumentOr(aArgc, aArgv, 2, kDefaultRate);
  const auto seconds = ArgumentOr(aArgc, aArgv, 3, kDefaultSeconds);
  return Run(workers, rate, seconds);
}
