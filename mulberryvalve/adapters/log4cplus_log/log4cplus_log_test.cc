#include "mulberryvalve/adapters/log4cplus_log/event_line.h"
#include "mulberryvalve/adapters/log4cplus_log/log4cplus_event_log.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve;

namespace {

class FixedClock : public Clock
{
public:
  MonotonicTime Now() const override { return {}; }
  WallTime WallNow() const override { return { 1700000000007 }; }
};

std::string FormattedValue(const std::string& aValue)
{
  const std::string line =
    FormatEventLine({ 0 }, EventLevel::kInfo, "e", { { "k", aValue } });
  return line.substr(line.find(" k=") + 3);
}

} // namespace

TEST_GROUP(Log4cplusLog){};

TEST(Log4cplusLog, LineHasTimeLevelAndFields)
{
  const std::string line = FormatEventLine({ 1700000000007 },
                                           EventLevel::kWarn,
                                           "task started",
                                           { { "task", "j/0" }, { "n", "1" } });
  STRCMP_EQUAL("2023-11-14T22:13:20.007Z warn event=task_started task=j/0 n=1",
               line.c_str());
}

TEST(Log4cplusLog, ValuesAreQuotedAndEscaped)
{
  const struct
  {
    std::string mValue;
    const char* mExpected;
  } rows[] = {
    { "plain-1.2", "plain-1.2" },
    { "", "\"\"" },
    { "two words", "\"two words\"" },
    { "a=b", "\"a=b\"" },
    { "say \"x\"", "\"say \\\"x\\\"\"" },
    { "c:\\d", "\"c:\\\\d\"" },
    { "a\nevent=forged", "\"a\\nevent=forged\"" },
    { "a\r\x1b[2J\x7f", "\"a\\x0d\\x1b[2J\\x7f\"" },
    { std::string("a\0b", 3), "\"a\\x00b\"" },
    { "\xc2\x85", "\"\\xc2\\x85\"" },
  };
  for (const auto& row : rows) {
    STRCMP_EQUAL(row.mExpected, FormattedValue(row.mValue).c_str());
  }
}

TEST(Log4cplusLog, LongValuesAreTruncated)
{
  const std::string value = FormattedValue(std::string(5000, 'x'));
  CHECK(value == std::string(kMaxEventValueBytes, 'x') + "...");
}

TEST(Log4cplusLog, LongLinesAreTruncatedAndMarked)
{
  const std::vector<EventField> fields(20, { "k", std::string(1024, '\n') });
  const std::string line =
    FormatEventLine({ 0 }, EventLevel::kInfo, "e", fields);
  CHECK(line.size() <= kMaxEventLineBytes);
  CHECK(line.find(" truncated=true") == line.size() - 15);
}

TEST(Log4cplusLog, FileHasOneLinePerEventAtOrAboveTheLevel)
{
  const std::string file =
    "log4cplus_log_test." + std::to_string(getpid()) + ".log";
  const FixedClock clock;
  {
    auto log = Log4cplusEventLog::Open(clock, EventLevel::kWarn, file);
    CHECK(log.has_value());
    log.value()->Write(EventLevel::kInfo, "dropped", {});
    log.value()->Write(EventLevel::kError, "kept", { { "k", "%m\n%n" } });
    log.value()->WriteBatch(
      { { { 1700000000001 }, EventLevel::kWarn, "first", { { "k", "1" } } },
        { { 1700000000002 }, EventLevel::kInfo, "dropped", {} },
        { { 1700000000003 }, EventLevel::kError, "second", {} } });
    log.value()->WriteBatch({});
    log.value()->WriteBatch(std::vector<LoggedEvent>(
      100, { { 1700000000004 }, EventLevel::kError, "many", {} }));
  }
  std::ifstream stream(file);
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  std::remove(file.c_str());
  STRCMP_EQUAL("2023-11-14T22:13:20.007Z error event=kept k=\"%m\\n%n\"\n"
               "2023-11-14T22:13:20.001Z warn event=first k=1\n"
               "2023-11-14T22:13:20.003Z error event=second\n",
               text.substr(0, text.find("2023-11-14T22:13:20.004Z")).c_str());
  const std::string line = "2023-11-14T22:13:20.004Z error event=many\n";
  std::string many;
  for (int count = 0; count < 100; count++) {
    many += line;
  }
  CHECK(text.substr(text.find(line)) == many);
}

TEST(Log4cplusLog, OpenFailsForUnwritableFile)
{
  const FixedClock clock;
  const auto log =
    Log4cplusEventLog::Open(clock, EventLevel::kInfo, "/dev/null/x");
  CHECK(!log.has_value());
  CHECK(log.error().mKind == FailureKind::kInvalidInput);
}
