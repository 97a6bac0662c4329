#include "mulberryvalve/adapters/cli/ctl.h"
#include "mulberryvalve/adapters/json/json_bundle_reader.h"

#include <deque>
#include <sstream>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

using Words = std::vector<const char*>;

CommandLineOutcome ParseWords(Words aWords,
                              std::vector<std::string> aVariables = {})
{
  aWords.insert(aWords.begin(), "mulberryvalvectl");
  return ReadCommandLine(
    static_cast<int>(aWords.size()), aWords.data(), aVariables);
}

// FakeApiClient returns queued answers in order and records the calls.
class FakeApiClient : public ApiClient
{
public:
  Result<HttpAnswer> Call(HttpCall aCall) override
  {
    mCalls.push_back(std::move(aCall));
    Result<HttpAnswer> answer = std::move(mAnswers.front());
    mAnswers.pop_front();
    return answer;
  }
  void QueueAnswer(int aStatus,
                   std::string aBody,
                   std::vector<HttpHeader> aHeaders = {})
  {
    mAnswers.emplace_back(HttpAnswer{
      HttpOutcome::kAnswered, aStatus, std::move(aBody), std::move(aHeaders) });
  }
  std::deque<Result<HttpAnswer>> mAnswers;
  std::vector<HttpCall> mCalls;
};

} // namespace

TEST_GROUP(Ctl)
{
  FakeApiClient mApi;
  JsonBundleReader mBundles;
  std::ostringstream mOut;
  std::ostringstream mError;

  ExitCode Run(const Words& aWords)
  {
    mOut.str("");
    mError.str("");
    const auto line = ParseWords(aWords, { "MULBERRYVALVE_OPERATOR=ann" });
    CHECK(line.has_value());
    return RunCommand(line.value(), { mApi, mBundles }, { mOut, mError });
  }
};

TEST(Ctl, ReportsEveryCommandLineFault)
{
  const struct
  {
    Words mWords;
    std::vector<const char*> mFields;
  } rows[] = {
    { {}, { "command" } },
    { { "bundle" }, { "command" } },
    { { "domain", "out" }, { "DOMAIN", "operator" } },
    { { "status", "more" }, { "operand" } },
    { { "status", "--limit=3" }, { "limit" } },
    { { "audit", "--limit=0", "--output=xml" }, { "output", "limit" } },
    { { "bundle", "sign-off", "1" }, { "operator", "digest" } },
    { { "job", "submit", "--parts=-1", "--kind=big" }, { "parts", "kind" } },
    { { "status", "--endpoint=localhost:1" }, { "endpoint" } },
    { { "status", "--endpoint=1.2.3.4:0" }, { "endpoint" } },
    { { "status", "--output", "json", "--output", "text" }, { "output" } },
    { { "status", "--nonsense" }, { "--nonsense" } },
  };
  for (const auto& row : rows) {
    const auto line = ParseWords(row.mWords);
    CHECK(!line);
    for (const char* field : row.mFields) {
      bool found = false;
      for (const SettingFault& fault : line.error()) {
        found = found || fault.mField == field;
      }
      CHECK_TEXT(found, field);
    }
    CHECK_EQUAL(row.mFields.size(), line.error().size());
  }
}

TEST(Ctl, EveryCommandHasHelp)
{
  for (const auto& row : kCommandNames.mRows) {
    const std::string help = CommandHelp(CommandSpecOf(row.mValue));
    CHECK(help.find(std::string(row.mName)) != std::string::npos);
    CHECK(help.find("--endpoint") != std::string::npos);
    CHECK(OverviewHelp().find(std::string(row.mName)) != std::string::npos);
  }
}

TEST(Ctl, FlagOverridesVariable)
{
  const std::vector<std::string> variables{ "MULBERRYVALVE_ENDPOINT=1.1.1.1:1",
                                            "MULBERRYVALVE_DOMAIN=north" };
  CHECK_EQUAL(1,
              ParseWords({ "status" }, variables).value().Endpoints()[0].mPort);
  const auto line = ParseWords({ "--endpoint=2.2.2.2:2", "status" }, variables);
  CHECK_EQUAL(2, line.value().Endpoints()[0].mPort);
}

TEST(Ctl, FailuresMapToExitCodes)
{
  const struct
  {
    int mStatus;
    const char* mBody;
    ExitCode mExitCode;
  } rows[] = {
    { 400, R"({"error":"invalid_input"})", ExitCode::kInvalid },
    { 400, R"({"error":"unsigned"})", ExitCode::kInvalid },
    { 404, R"({"error":"not_found"})", ExitCode::kNotFound },
    { 409,
      R"({"error":"conflict","detail":"won by bo"})",
      ExitCode::kConflict },
    { 503, R"({"error":"log_unavailable"})", ExitCode::kNotRun },
    { 504, R"({"error":"unknown_outcome"})", ExitCode::kUnknown },
    { 500, "garbage", ExitCode::kUnknown },
    { 200, "garbage", ExitCode::kUnknown },
    { 200, R"({"offset":{}})", ExitCode::kOk },
  };
  for (const auto& row : rows) {
    mApi.QueueAnswer(row.mStatus, row.mBody);
    CHECK_TEXT(Run({ "domain", "out", "north", "--expected=4" }) ==
                 row.mExitCode,
               row.mBody);
  }
  mApi.mAnswers.emplace_back(Fail(FailureKind::kPeerUnreachable));
  CHECK(Run({ "status" }) == ExitCode::kUnreachable);
}

TEST(Ctl, UnexpectedJsonIsAFailure)
{
  for (const char* body : { R"({"domains":5})",
                            R"({"domains":[7]})",
                            R"({"domains":[{"state":{}}]})" }) {
    mApi.QueueAnswer(200, body);
    CHECK_TEXT(Run({ "domain", "list" }) == ExitCode::kUnknown, body);
  }
}

TEST(Ctl, DomainChangeExpectsTheFetchedOffset)
{
  mApi.QueueAnswer(200, R"({"domains":[{"domain":"north","offset":12}]})");
  mApi.QueueAnswer(200, R"({"offset":13})");
  CHECK(Run({ "domain", "return", "north", "--reason=done" }) == ExitCode::kOk);
  const auto body = nlohmann::json::parse(mApi.mCalls.at(1).mBody);
  CHECK_EQUAL(12, body.at("expected").get<int>());
  STRCMP_EQUAL("in", body.at("state").get<std::string>().c_str());
  STRCMP_EQUAL("ann", body.at("operator").get<std::string>().c_str());
}

TEST(Ctl, RequestOutcomesMapToExitCodes)
{
  const struct
  {
    const char* mOutcome;
    int mStatus;
    ExitCode mExitCode;
  } rows[] = { { "answered", 200, ExitCode::kOk },
               { "answered", 500, ExitCode::kFailed },
               { "not_run", 503, ExitCode::kNotRun },
               { "unknown", 504, ExitCode::kUnknown } };
  for (const auto& row : rows) {
    mApi.QueueAnswer(row.mStatus, "{}", { { "X-Outcome", row.mOutcome } });
    CHECK_TEXT(Run({ "request" }) == row.mExitCode, row.mOutcome);
  }
}

TEST(Ctl, JobExplainPrintsHistoryAndDecisions)
{
  mApi.QueueAnswer(200,
                   R"({"job":"north.0.a","parts":1,"kind":"batch","class":"c",
    "priority":"low","states":{"evicted":1},"tasks":[{"task":"north.0.a/0",
    "state":"evicted","attempt":1,"worker":"w","history":[
    {"at_ms":1000,"state":"queued"},
    {"at_ms":2500,"state":"evicted","attempt":1,"worker":"w",
     "reason":"domain_out\u001b[2J"}],"decisions":[{"kind":"waits",
     "ago_ms":40,"ruled_out":[{"bound":"memory","workers":3}],
     "nearest":["w2"]}]}]})");
  CHECK(Run({ "job", "explain", "north.0.a" }) == ExitCode::kOk);
  const std::string text = mOut.str();
  CHECK(text.find("+1.500 s") != std::string::npos);
  CHECK(text.find("domain_out") != std::string::npos);
  CHECK(text.find("kept off by memory on 3 workers") != std::string::npos);
  CHECK(text.find("nearest to room: w2") != std::string::npos);
  CHECK(text.find("waits for a worker to resume on") != std::string::npos);
  CHECK(text.find('\x1b') == std::string::npos);
}

TEST(Ctl, PublishExpectsTheNewestVersion)
{
  mApi.QueueAnswer(200, R"({"newest_bundle":3})");
  mApi.QueueAnswer(400, R"({"error":"invalid_input","field":"bundle","faults":[
    {"kind":"missing","path":"name","value":"","allowed":"a value"}]})");
  CHECK(Run({ "bundle", "publish", "/dev/null" }) == ExitCode::kInvalid);
  bool expected = false;
  for (const HttpHeader& header : mApi.mCalls.at(1).mHeaders) {
    expected = expected ||
               (header.mName == "X-Expected-Version" && header.mValue == "3");
  }
  CHECK(expected);
  CHECK(mError.str().find("name: missing") != std::string::npos);
}

} // namespace mulberryvalve
