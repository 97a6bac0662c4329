// Checks that PlatformClient and WorkerClient reject malformed responses.
#include "mulberryvalve/adapters/http/platform_client.h"
#include "mulberryvalve/adapters/http/raw_client_fake.h"
#include "mulberryvalve/adapters/http/worker_client.h"
#include "tests/support/free_port.h"

#include <httplib.h>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeed = 20264;
constexpr int kRandomAnswers = 300;
constexpr Milliseconds kTimeout{ 2000 };
const std::string kSyncAnswer =
  R"({"boot":"b","clock_ms":5,"running":[{"lease":"l","task":"t",)"
  R"("attempt":"1","expires_at":9,"throttle_percent":100,"progress_ms":1,)"
  R"("checkpoint":""}],"finished":[],"usage":{"taken_at":1,"cpu_millis":1,)"
  R"("memory_mb":1,"busy_slots":0,"request_p99_us":0,"by_lease":[]}})";
const std::string kPageAnswer =
  R"({"oldest_offset":1,"next_offset":3,"records":[{"offset":1,"data":"{}"},)"
  R"({"offset":2,"data":"x"}]})";

std::string MutateBytes(std::string aText, std::mt19937& aRandom)
{
  for (uint32_t change = aRandom() % 4 + 1; change > 0; change--) {
    aText[aRandom() % aText.size()] = static_cast<char>(aRandom());
  }
  return aText;
}

} // namespace

// The server answers every request with mAnswer.
TEST_GROUP(MalformedAnswers)
{
  std::mutex mMutex;
  std::string mAnswer;
  httplib::Server mServer;
  std::thread mThread;
  HttpClientPool mPool{ 2 };
  Endpoint mEndpoint{ "127.0.0.1", FreePort() };
  PlatformClient mPlatform{ mEndpoint, mPool, kTimeout };
  WorkerClient mWorkers{ mPool, kTimeout };

  void setup() override
  {
    const auto answer = [this](const httplib::Request&,
                               httplib::Response& aOut) {
      const std::lock_guard<std::mutex> lock(mMutex);
      aOut.set_content(mAnswer, "application/json");
    };
    mServer.Get(".*", answer);
    mServer.Post(".*", answer);
    mServer.set_keep_alive_max_count(1'000'000);
    mServer.set_tcp_nodelay(true);
    CHECK(mServer.bind_to_port(mEndpoint.mAddress, mEndpoint.mPort));
    mThread = std::thread([this] { mServer.listen_after_bind(); });
  }
  void teardown() override
  {
    mServer.stop();
    mThread.join();
  }

  void SetAnswer(const std::string& aAnswer)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mAnswer = aAnswer;
  }
  Result<SyncReply> Sync()
  {
    WorkerSpec worker;
    worker.mId = WorkerId("w");
    worker.mEndpoint = mEndpoint;
    return mWorkers.Sync(worker, SyncRequest());
  }
  Result<LogPage> Page()
  {
    return mPlatform.Read(StreamName("s"), Offset(1), 10, Milliseconds(0));
  }
};

TEST(MalformedAnswers, ParsesWellFormedAnswers)
{
  SetAnswer(kSyncAnswer);
  CHECK(Sync().has_value());
  SetAnswer(kPageAnswer);
  const auto page = Page();
  CHECK(page.has_value());
  CHECK_EQUAL(size_t{ 2 }, page.value().mRecords.size());
}

TEST(MalformedAnswers, RejectsMalformedAnswers)
{
  for (const std::string& answer :
       { std::string(),
         std::string("[]"),
         std::string("null"),
         std::string("{}"),
         std::string(100'000, '['),
         std::string("{\"boot\":\"\xff\"}"),
         std::string(R"({"boot":7,"clock_ms":1})"),
         std::string(R"({"records":{},"oldest_offset":1,"next_offset":1})"),
         std::string(R"({"records":[],"oldest_offset":-1,"next_offset":1})"),
         std::string(R"({"boot":"b","clock_ms":1,"running":[3]})") }) {
    SetAnswer(answer);
    CHECK_TEXT(!Sync(), answer.substr(0, 60).c_str());
    CHECK_TEXT(!Page(), answer.substr(0, 60).c_str());
  }
}

TEST(MalformedAnswers, SurvivesRandomByteMutations)
{
  std::mt19937 random(kSeed);
  int refused = 0;
  for (int round = 0; round < kRandomAnswers; round++) {
    SetAnswer(MutateBytes(kSyncAnswer, random));
    refused += Sync() ? 0 : 1;
    SetAnswer(MutateBytes(kPageAnswer, random));
    refused += Page() ? 0 : 1;
  }
  CHECK(refused > 0);
  SetAnswer(kSyncAnswer);
  CHECK(Sync().has_value());
}

} // namespace mulberryvalve
