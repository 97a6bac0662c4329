#include "mulberryvalve/adapters/http/caller_server.h"
#include "mulberryvalve/adapters/http/raw_client_fake.h"
#include "tests/support/free_port.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeed = 20263;
constexpr Milliseconds kReadTimeout{ 3000 };
constexpr size_t kMaxBody = 4096;
constexpr uint32_t kThreads = 4;

class FixedClock : public Clock
{
public:
  MonotonicTime Now() const override { return MonotonicTime(); }
  WallTime WallNow() const override { return WallTime(); }
};

class CountingRequests : public RequestApi
{
public:
  RequestOutcome Handle(const Request& aRequest) override
  {
    mCalls++;
    RequestOutcome outcome;
    outcome.mStatus = RequestStatus::kAnswered;
    outcome.mUpstreamStatus = 200;
    outcome.mBody = aRequest.mBody;
    return outcome;
  }
  std::atomic<int> mCalls{ 0 };
};

class CountingJobs : public JobApi
{
public:
  Result<JobReceipt> Submit(const JobSubmission&) override
  {
    mCalls++;
    return JobReceipt{ JobId("north.0.a"), ShardId("north.0"), Offset(1) };
  }
  Result<void> Cancel(const JobId&, const OperatorId&) override
  {
    mCalls++;
    return Done();
  }
  Result<JobView> Status(const JobId& aJob) override
  {
    return Fail(FailureKind::kNotFound, "job", aJob.Text());
  }
  std::vector<JobView> List(size_t) override { return {}; }
  std::atomic<int> mCalls{ 0 };
};

class CountingOperators : public OperatorApi
{
public:
  PublishOutcome Publish(const std::string&,
                         BundleVersion,
                         const OperatorId&) override
  {
    mCalls++;
    return PublishFailure{
      Fail(FailureKind::kInvalidInput, "bundle", "2 faults"),
      { { BundleFaultKind::kMissing, "name", "", "a value" },
        { BundleFaultKind::kOutOfRange, "limits.a", "0", "1 to 2" } }
    };
  }
  Result<Offset> SignOff(BundleVersion,
                         const std::string&,
                         const OperatorId&) override
  {
    mCalls++;
    return Offset(1);
  }
  Result<PublishedBundle> Published(BundleVersion) override
  {
    return Fail(FailureKind::kNotFound, "version");
  }
  Result<Offset> ChangeDomain(const DomainChanged&) override
  {
    mCalls++;
    return Fail(FailureKind::kConflict, "expected", "won by ann at offset 4");
  }
  std::vector<DomainView> Domains() override { return {}; }
  InstanceStatus Status() override { return {}; }
  std::vector<WorkerSpec> Workers() override { return {}; }
  Result<AuditPage> Audit(size_t aLimit) override
  {
    mAuditLimit = aLimit;
    return AuditPage{};
  }
  std::atomic<int> mCalls{ 0 };
  std::atomic<size_t> mAuditLimit{ 0 };
};

std::string Post(const std::string& aPath,
                 const std::string& aHeaders,
                 const std::string& aBody)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_GROUP(CallerServer)
{
  FixedClock mClock;
  CountingRequests mRequests;
  CountingJobs mJobs;
  CountingOperators mOperators;
  uint16_t mPort = FreePort();
  std::unique_ptr<CallerServer> mServer;

  void setup() override
  {
    CallerServerOptions options;
    options.mListen = { "127.0.0.1", mPort };
    options.mThreads = kThreads;
    options.mMaxBodyBytes = kMaxBody;
    options.mExchangeTimeout = Milliseconds(400);
    options.mIdleTimeout = Milliseconds(2000);
    mServer = std::make_unique<CallerServer>(
      options, CallerServerPorts{ mRequests, mJobs, mOperators, mClock, [] {
                                   return std::string("metric 1\n");
                                 } });
    CHECK(mServer->Start().has_value());
  }
  void teardown() override
  {
    mServer->Stop();
    mServer.reset();
  }

  int Calls() const
  {
    return mRequests.mCalls + mJobs.mCalls + mOperators.mCalls;
  }
};

TEST(CallerServer, RejectsInvalidInputWithATypedError)
{
  const std::string large(kMaxBody + 1, 'x');
  const struct
  {
    std::string mBytes;
    const char* mStatus;
    const char* mError;
  } rows[] = {
    { "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n\r\n", "411", "malformed" },
    { Post("/v1/request", "", large), "413", "too_large" },
    { "POST /v1/request HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
      "413",
      "too_large" },
    { "POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "400",
      "malformed" },
    { Post("/v1/jobs", "", std::string(2000, '[')), "400", "malformed" },
    { Post("/v1/jobs", "", "{\"name\":\"\xff\"}"), "400", "malformed" },
    { Post("/v1/jobs", "", R"({"parts":"many"})"), "400", "invalid_input" },
    { Post("/v1/jobs/a/cancel", "X-Operator: a%0d%0aX-B: c\r\n", "{}"),
      "400",
      "invalid_input" },
    { Post(
        "/v1/bundles", "X-Operator: " + std::string(101, 'a') + "\r\n", "{}"),
      "400",
      "invalid_input" },
    { Post("/v1/bundles", "X-Expected-Version: one\r\n", "{}"),
      "400",
      "invalid_input" },
    { Post("/v1/bundles/1/sign-off", "X-Operator: \xff\r\n", "{}"),
      "400",
      "invalid_input" },
    { Post("/v1/domains/north", "", R"({"state":"away"})"),
      "400",
      "invalid_input" },
    { Post("/v1/domains/no%0arth", "", R"({"state":"out"})"),
      "400",
      "invalid_input" },
    { Post("/v1/request", "X-Request-Kind: perhaps\r\n", "{}"),
      "400",
      "invalid_input" },
    { Post("/v1/request", "Idempotency-Key: a%07\r\n", "{}"),
      "400",
      "invalid_input" },
    { Post("/v1/nothing", "", "{}"), "404", "not_found" },
    { "GET /v1/jobs/" + std::string(300, 'a') + " HTTP/1.1\r\n\r\n",
      "400",
      "invalid_input" },
    { "GET /v1/jobs/none HTTP/1.1\r\n\r\n", "404", "not_found" },
    { "GET /v1/audit?limit=0 HTTP/1.1\r\n\r\n", "400", "invalid_input" },
    { "GET /v1/audit?limit=9999 HTTP/1.1\r\n\r\n", "400", "invalid_input" },
    { "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n\r\n",
      "414",
      "too_large" },
  };
  for (const auto& row : rows) {
    const RawClient client(mPort);
    client.Send(row.mBytes);
    const std::string answer = client.ReadUntil("}", kReadTimeout);
    const std::string name = row.mBytes.substr(0, 70) + " -> " + answer;
    CHECK_TEXT(answer.find(row.mStatus) == sizeof("HTTP/1.1 ") - 1,
               name.c_str());
    CHECK_TEXT(answer.find("\"error\":\"" + std::string(row.mError)) !=
                 std::string::npos,
               name.c_str());
  }
  CHECK_EQUAL(0, Calls());
}

TEST(CallerServer, ClosesAfterAnAmbiguousBodyLength)
{
  for (const char* headers : { "Content-Length: 3\r\nContent-Length: 4\r\n",
                               "Content-Length: abc\r\n",
                               "Content-Length: -1\r\n",
                               "Content-Length: 4\r\n"
                               "Transfer-Encoding: chunked\r\n" }) {
    const RawClient client(mPort);
    client.Send("POST /v1/jobs HTTP/1.1\r\n" + std::string(headers) +
                "\r\nGET /healthz HTTP/1.1\r\n\r\n");
    const std::string answer = client.ReadUntil("healthy", kReadTimeout);
    CHECK_TEXT(answer.find("healthy") == std::string::npos, headers);
  }
  CHECK_EQUAL(0, Calls());
}

TEST(CallerServer, ClosesOnEndlessHeaders)
{
  const RawClient client(mPort);
  const std::string part(4096, 'a');
  bool open = client.Send("GET /healthz HTTP/1.1\r\nX-Long: ");
  for (int count = 0; open && count < 4096; count++) {
    open = client.Send(part);
  }
  CHECK(client.ClosesWithin(kReadTimeout));
}

TEST(CallerServer, ClosesSlowSenders)
{
  for (const char* begin :
       { "GET /heal",
         "POST /v1/jobs HTTP/1.1\r\nContent-Length: 9\r\n\r\n{" }) {
    const RawClient client(mPort);
    client.Send(begin);
    CHECK_TEXT(client.ClosesWithin(kReadTimeout), begin);
  }
  CHECK_EQUAL(0, Calls());
}

TEST(CallerServer, IdleConnectionsAreClosedForNewOnes)
{
  std::vector<std::unique_ptr<RawClient>> idle;
  for (uint32_t count = 0; count < kThreads * 3; count++) {
    idle.push_back(std::make_unique<RawClient>(mPort));
    idle.back()->Send("GET /healthz HTTP/1.1\r\n\r\n");
    const std::string answer = idle.back()->ReadUntil("healthy", kReadTimeout);
    CHECK(answer.find("healthy") != std::string::npos);
  }
}

TEST(CallerServer, RejectsConnectionsBeyondTheLimit)
{
  std::vector<std::unique_ptr<RawClient>> busy;
  std::string refused;
  for (uint32_t count = 0; count < 700 && refused.empty(); count++) {
    busy.push_back(std::make_unique<RawClient>(mPort));
    busy.back()->Send("GET /heal");
    if (count > kThreads + 512) {
      refused = busy.back()->ReadUntil("}", Milliseconds(50));
    }
  }
  CHECK(refused.find("503") != std::string::npos);
  CHECK(refused.find("\"error\":\"overloaded\"") != std::string::npos);
}

TEST(CallerServer, SurvivesRandomByteMutations)
{
  std::mt19937 random(kSeed);
  const std::string good = Post("/v1/jobs", "X-Operator: a\r\n", "{}");
  for (int round = 0; round < 300; round++) {
    std::string bytes = good;
    for (uint32_t change = random() % 8 + 1; change > 0; change--) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const RawClient client(mPort);
    client.Send(bytes);
  }
  const RawClient client(mPort);
  client.Send("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(client.ReadUntil("healthy", kReadTimeout).find("healthy") !=
        std::string::npos);
}

TEST(CallerServer, ReportsAllFaultsAndTheConflictWinner)
{
  const RawClient client(mPort);
  client.Send(Post("/v1/bundles", "X-Operator: ann\r\n", "{}"));
  const std::string faults = client.ReadUntil("]", kReadTimeout);
  CHECK(faults.find("\"path\":\"name\"") != std::string::npos);
  CHECK(faults.find("\"path\":\"limits.a\"") != std::string::npos);
  client.Send(Post("/v1/domains/north", "", R"({"state":"out"})"));
  const std::string conflict = client.ReadUntil("}", kReadTimeout);
  CHECK(conflict.find("409") != std::string::npos);
  CHECK(conflict.find("won by ann at offset 4") != std::string::npos);
  client.Send("GET /v1/audit?limit=7 HTTP/1.1\r\n\r\n");
  CHECK(client.ReadUntil("truncated", kReadTimeout).find("200") !=
        std::string::npos);
  CHECK_EQUAL(size_t{ 7 }, mOperators.mAuditLimit.load());
}

} // namespace mulberryvalve
