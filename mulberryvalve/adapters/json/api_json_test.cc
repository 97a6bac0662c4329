#include "mulberryvalve/adapters/json/api_json.h"

#include "mulberryvalve/adapters/json/json_bundle_reader.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeed = 20262;
constexpr int kRandomTexts = 20000;
const std::string kSubmission =
  R"({"name":"a","home":"north","parts":2,"kind":"batch","team":"t",)"
  R"("cpu_millis":500,"payload":"{\"run_ms\":5}"})";
const std::string kBundle =
  R"({"version":1,"name":"n","placement":{"request_reserve":{"cpu_millis":1}},)"
  R"("limits":{"max_attempts":3},"teams":{"t":{"cpu_millis":1,"memory_mb":1}}})";

// ExpectedFault is the kind and path of an expected bundle fault.
struct ExpectedFault
{
  BundleFaultKind mKind;
  const char* mPath;
};

bool ContainsFault(const std::vector<BundleFault>& aFaults,
                   const ExpectedFault& aFault)
{
  return std::any_of(
    aFaults.begin(), aFaults.end(), [&](const BundleFault& aRow) {
      return aRow.mKind == aFault.mKind && aRow.mPath == aFault.mPath;
    });
}

std::string MutateBytes(std::string aText, std::mt19937& aRandom)
{
  for (uint32_t change = aRandom() % 4 + 1; change > 0; change--) {
    aText[aRandom() % aText.size()] = static_cast<char>(aRandom());
  }
  return aText;
}

} // namespace

TEST_GROUP(ApiJson){};

TEST(ApiJson, ReadsASubmission)
{
  const auto read = ReadSubmission(kSubmission);
  CHECK(read.has_value());
  STRCMP_EQUAL("a", read.value().mName.c_str());
  CHECK_EQUAL(2u, read.value().mParts);
}

TEST(ApiJson, RejectsInvalidSubmissions)
{
  const struct
  {
    std::string mBody;
    const char* mField;
  } rows[] = {
    { "", "" },
    { "null", "" },
    { std::string(70'000, ' '), "" },
    { std::string(5000, '{'), "" },
    { "{\"name\":\"\xc3\x28\"}", "" },
    { R"({"name":5})", "name" },
    { R"({"name":"a\nb"})", "name" },
    { R"({"name":")" + std::string(101, 'a') + R"("})", "name" },
    { R"({"team":"\u0000"})", "team" },
    { R"({"parts":0})", "parts" },
    { R"({"parts":10001})", "parts" },
    { R"({"parts":1.5})", "parts" },
    { R"({"parts":18446744073709551615})", "parts" },
    { R"({"kind":"sometimes"})", "kind" },
    { R"({"priority":[]})", "priority" },
    { R"({"cpu_millis":-1})", "cpu_millis" },
    { R"({"payload":"not json"})", "payload" },
    { R"({"payload":")" + std::string(8000, '[') + R"("})", "payload" },
  };
  for (const auto& row : rows) {
    const auto read = ReadSubmission(row.mBody);
    CHECK_TEXT(!read, row.mBody.substr(0, 80).c_str());
    STRCMP_EQUAL(row.mField, read.error().mField.c_str());
  }
}

TEST(ApiJson, RejectsInvalidDomainChanges)
{
  const struct
  {
    std::string mBody;
    const char* mField;
  } rows[] = {
    { "{}", "state" },
    { R"({"state":"away"})", "state" },
    { R"({"state":"out","expected":-1})", "expected" },
    { R"({"state":"out","operator":"a\u001b[2J"})", "operator" },
    { R"({"state":"out","reason":"a\r\nb"})", "reason" },
    { R"({"state":"out","reason":")" + std::string(257, 'a') + R"("})",
      "reason" },
  };
  for (const auto& row : rows) {
    const auto read = ReadDomainChange(DomainId("north"), row.mBody);
    CHECK_TEXT(!read, row.mBody.substr(0, 80).c_str());
    STRCMP_EQUAL(row.mField, read.error().mField.c_str());
  }
}

TEST(ApiJson, ReportsEveryFaultOfABundleWithItsPath)
{
  const auto checked = JsonBundleReader().Read(
    R"({"version":0,"extra":1,"placement":{"request_reserve":[]},)"
    R"("limits":{"max_attempts":"x","retry_percent":101,"a":1},)"
    R"("teams":{"t":{"cpu_millis":-1,"highest_priority":"top"},"u":4}})");
  const ExpectedFault expected[] = {
    { BundleFaultKind::kOutOfRange, "version" },
    { BundleFaultKind::kMissing, "name" },
    { BundleFaultKind::kUnknownField, "extra" },
    { BundleFaultKind::kWrongType, "placement.request_reserve" },
    { BundleFaultKind::kWrongType, "limits.max_attempts" },
    { BundleFaultKind::kOutOfRange, "limits.retry_percent" },
    { BundleFaultKind::kUnknownField, "limits.a" },
    { BundleFaultKind::kOutOfRange, "teams.t.cpu_millis" },
    { BundleFaultKind::kMissing, "teams.t.memory_mb" },
    { BundleFaultKind::kNotAllowed, "teams.t.highest_priority" },
    { BundleFaultKind::kWrongType, "teams.u" },
  };
  for (const ExpectedFault& fault : expected) {
    CHECK_TEXT(ContainsFault(checked.mFaults, fault), fault.mPath);
  }
  CHECK_EQUAL(std::size(expected), checked.mFaults.size());
}

TEST(ApiJson, RejectsBundlesThatAreNotJsonObjects)
{
  const struct
  {
    std::string mText;
    BundleFaultKind mKind;
  } rows[] = {
    { "", BundleFaultKind::kMalformed },
    { "[1]", BundleFaultKind::kMalformed },
    { "{\"name\":\"\xff\"}", BundleFaultKind::kMalformed },
    { std::string(kMaxBundleBytes + 1, ' '), BundleFaultKind::kTooLarge },
    { std::string(1000, '['), BundleFaultKind::kMalformed },
  };
  for (const auto& row : rows) {
    const auto checked = JsonBundleReader().Read(row.mText);
    CHECK_EQUAL(size_t{ 1 }, checked.mFaults.size());
    CHECK(checked.mFaults.front().mKind == row.mKind);
  }
}

TEST(ApiJson, SurvivesRandomByteMutations)
{
  std::mt19937 random(kSeed);
  const JsonBundleReader bundles;
  CHECK(bundles.Read(kBundle).mFaults.empty());
  for (int round = 0; round < kRandomTexts; round++) {
    const auto submission = ReadSubmission(MutateBytes(kSubmission, random));
    CHECK(submission || !submission.error().mDetail.empty());
    const auto checked = bundles.Read(MutateBytes(kBundle, random));
    CHECK(!checked.mFaults.empty() || checked.mBundle.mVersion.Value() > 0);
  }
}

} // namespace mulberryvalve
