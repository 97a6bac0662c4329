#include "mulberryvalve/adapters/settings/instance_settings_reader.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve;

namespace {

using Strings = std::vector<std::string>;

const Strings kRequiredFlags = {
  "--instance=e-1",
  "--domain=a",
  "--caller-listen=10.0.0.1:8000",
  "--peer-listen=10.0.0.1:8001",
  "--platform=10.0.0.9:7000",
  "--domains=a,b",
};

SettingsOutcome Parse(const Strings& aFlags, const Strings& aEnvironment = {})
{
  std::vector<const char*> arguments{ "mulberryvalved" };
  for (const auto& flag : aFlags) {
    arguments.push_back(flag.c_str());
  }
  return ParseSettings(
    static_cast<int>(arguments.size()), arguments.data(), aEnvironment);
}

// RequiredFlagsWith returns kRequiredFlags plus aFlag, which replaces a
// required flag of the same name.
Strings RequiredFlagsWith(const std::string& aFlag)
{
  Strings flags;
  for (const auto& flag : kRequiredFlags) {
    if (flag.substr(0, flag.find('=')) != aFlag.substr(0, aFlag.find('='))) {
      flags.push_back(flag);
    }
  }
  flags.push_back(aFlag);
  return flags;
}

void CheckOneFault(const SettingsOutcome& aOutcome,
                   SettingFaultKind aKind,
                   const std::string& aField,
                   SettingSource aSource)
{
  CHECK(!aOutcome.has_value());
  LONGS_EQUAL(1, aOutcome.error().size());
  const SettingFault& fault = aOutcome.error().front();
  STRCMP_EQUAL(kSettingFaultKindNames.Name(aKind).data(),
               kSettingFaultKindNames.Name(fault.mKind).data());
  STRCMP_EQUAL(aField.c_str(), fault.mField.c_str());
  CHECK(fault.mSource == aSource);
  CHECK(!fault.mAllowed.empty());
}

std::string ManyPeers(int aCount)
{
  std::string flag = "--peers=";
  for (int i = 0; i < aCount; i++) {
    flag += (i == 0 ? "10.1.0.1:" : ",10.1.0.1:") + std::to_string(i + 1);
  }
  return flag;
}

} // namespace

TEST_GROUP(InstanceSettingsReader){};

TEST(InstanceSettingsReader, AbsentSettingsGetDefaults)
{
  const auto outcome = Parse(kRequiredFlags);
  CHECK(outcome.has_value());
  CHECK(outcome.value().mMode == SettingsMode::kRun);
  const InstanceSettings& settings = outcome.value().mSettings;
  STRCMP_EQUAL("e-1", settings.mInstance.Text().c_str());
  STRCMP_EQUAL("10.0.0.1", settings.mCallerListen.mAddress.c_str());
  LONGS_EQUAL(8000, settings.mCallerListen.mPort);
  LONGS_EQUAL(2, settings.mDomains.size());
  CHECK(settings.mPeers.empty());
  const InstanceSettings expected;
  CHECK(settings.mLease == expected.mLease);
  CHECK(settings.mHeadStaleness == expected.mHeadStaleness);
  CHECK(settings.mClockAllowance == expected.mClockAllowance);
  CHECK(settings.mRenewalWindow == expected.mRenewalWindow);
  CHECK(settings.mCommitWindow == expected.mCommitWindow);
  CHECK(settings.mSyncInterval == expected.mSyncInterval);
  CHECK(settings.mHeartbeat == expected.mHeartbeat);
  CHECK(settings.mPeerDead == expected.mPeerDead);
  CHECK(settings.mDrain == expected.mDrain);
  CHECK(settings.mRequestDeadline == expected.mRequestDeadline);
  CHECK(settings.mShardsPerDomain == expected.mShardsPerDomain);
  CHECK(settings.mCallerThreads == expected.mCallerThreads);
  CHECK(settings.mMaxBodyBytes == expected.mMaxBodyBytes);
  CHECK(settings.mRandomSeed == expected.mRandomSeed);
  CHECK(settings.mLogLevel == expected.mLogLevel);
}

TEST(InstanceSettingsReader, FlagsOverrideEnvironmentVariables)
{
  const auto outcome = Parse(RequiredFlagsWith("--lease-ms=5000"),
                             { "MULBERRYVALVE_LEASE_MS=bad",
                               "MULBERRYVALVE_LOG_LEVEL=warn",
                               "OTHER=1" });
  CHECK(outcome.has_value());
  CHECK(outcome.value().mSettings.mLease == Milliseconds(5000));
  CHECK(outcome.value().mSettings.mLogLevel == EventLevel::kWarn);
}

TEST(InstanceSettingsReader, ReportsFaultyFlags)
{
  using Kind = SettingFaultKind;
  const struct
  {
    std::string mFlag;
    Kind mKind;
    std::string mField;
  } rows[] = {
    { "--no-such=1", Kind::kUnknownFlag, "no-such" },
    { "-x", Kind::kUnknownFlag, "x" },
    { "stray", Kind::kUnknownFlag, "stray" },
    { "--lease-ms", Kind::kMissing, "lease-ms" },
    { "--lease-ms=30s", Kind::kNotANumber, "lease-ms" },
    { "--lease-ms=", Kind::kNotANumber, "lease-ms" },
    { "--lease-ms=1999", Kind::kOutOfRange, "lease-ms" },
    { "--lease-ms=600001", Kind::kOutOfRange, "lease-ms" },
    { "--random-seed=-1", Kind::kOutOfRange, "random-seed" },
    { "--random-seed=9223372036854775808", Kind::kOutOfRange, "random-seed" },
    { "--platform=log.example:7000", Kind::kNotAnIpNumber, "platform" },
    { "--platform=", Kind::kNotAnIpNumber, "platform" },
    { "--platform=::1:7000", Kind::kNotAnIpNumber, "platform" },
    { "--platform=0.0.0.0:7000", Kind::kNotAllowed, "platform" },
    { "--platform=10.0.0.9", Kind::kBadPort, "platform" },
    { "--platform=10.0.0.9:0", Kind::kBadPort, "platform" },
    { "--platform=10.0.0.9:65536", Kind::kBadPort, "platform" },
    { "--platform=10.0.0.9:7000x", Kind::kBadPort, "platform" },
    { "--peers=10.0.0.2:1,10.0.0.2:1", Kind::kDuplicate, "peers" },
    { "--peers=[::1]:1,[0:0::1]:1", Kind::kDuplicate, "peers" },
    { "--peers=10.0.0.2:1,", Kind::kNotAnIpNumber, "peers" },
    { "--peers=10.0.0.1:8001", Kind::kNotAllowed, "peers" },
    { ManyPeers(65), Kind::kOutOfRange, "peers" },
    { "--domains=a,b,a", Kind::kDuplicate, "domains" },
    { "--domains=", Kind::kOutOfRange, "domains" },
    { "--domains=a,", Kind::kBadName, "domains" },
    { "--domains=b,c", Kind::kInconsistent, "domains" },
    { "--instance=E1", Kind::kBadName, "instance" },
    { "--instance=" + std::string(41, 'e'), Kind::kBadName, "instance" },
    { "--log-level=loud", Kind::kNotAllowed, "log-level" },
    { "--log-file=" + std::string(4097, 'f'), Kind::kOutOfRange, "log-file" },
    { "--log-file=a\nb", Kind::kNotAllowed, "log-file" },
    { "--renewal-window-ms=29999", Kind::kInconsistent, "renewal-window-ms" },
    { "--peer-dead-ms=999", Kind::kInconsistent, "peer-dead-ms" },
    { "--peer-listen=10.0.0.1:8000", Kind::kInconsistent, "peer-listen" },
    { "--check-settings=1", Kind::kNotAllowed, "check-settings" },
  };
  for (const auto& row : rows) {
    CheckOneFault(Parse(RequiredFlagsWith(row.mFlag)),
                  row.mKind,
                  row.mField,
                  SettingSource::kFlag);
  }
}

TEST(InstanceSettingsReader, ReportsFaultyVariables)
{
  using Kind = SettingFaultKind;
  const struct
  {
    Strings mEnvironment;
    Kind mKind;
    std::string mField;
  } rows[] = {
    { { "MULBERRYVALVE_NO_SUCH=1" },
      Kind::kUnknownVariable,
      "MULBERRYVALVE_NO_SUCH" },
    { { "MULBERRYVALVE_DRAIN_MS=x" }, Kind::kNotANumber, "drain-ms" },
    { { "MULBERRYVALVE_DRAIN_MS=200", "MULBERRYVALVE_DRAIN_MS=300" },
      Kind::kDuplicate,
      "drain-ms" },
  };
  for (const auto& row : rows) {
    CheckOneFault(Parse(kRequiredFlags, row.mEnvironment),
                  row.mKind,
                  row.mField,
                  SettingSource::kEnvironment);
  }
}

TEST(InstanceSettingsReader, AllFaultsAreReportedAtOnce)
{
  const auto outcome = Parse({ "--lease-ms=x", "--lease-ms=y", "--bad" });
  CHECK(!outcome.has_value());
  size_t missing = 0;
  for (const auto& fault : outcome.error()) {
    missing += fault.mKind == SettingFaultKind::kMissing ? 1 : 0;
  }
  LONGS_EQUAL(6, missing);
  LONGS_EQUAL(6 + 3, outcome.error().size());
}

TEST(InstanceSettingsReader, SelectsModesAndPrintsSettings)
{
  CHECK(Parse({ "--help", "--bad" }).value().mMode == SettingsMode::kHelp);
  CHECK(Parse({ "--version" }).value().mMode == SettingsMode::kVersion);
  CHECK(Parse(RequiredFlagsWith("--check-settings")).value().mMode ==
        SettingsMode::kCheckSettings);
  const auto outcome = Parse(RequiredFlagsWith("--print-settings"),
                             { "MULBERRYVALVE_PEERS=[0::1]:9" });
  CHECK(outcome.value().mMode == SettingsMode::kPrintSettings);
  const std::string text = PrintSettings(outcome.value().mPrinted);
  STRCMP_CONTAINS("caller-listen=10.0.0.1:8000 (flag)\n", text.c_str());
  STRCMP_CONTAINS("peers=[::1]:9 (env)\n", text.c_str());
  STRCMP_CONTAINS("lease-ms=30000 (default)\n", text.c_str());
  STRCMP_CONTAINS("log-level=info (default)\n", text.c_str());
}

TEST(InstanceSettingsReader, HelpListsEverySettingAndItsVariable)
{
  const std::string help = InstanceSettingsHelp();
  const auto outcome = Parse(kRequiredFlags);
  LONGS_EQUAL(23, outcome.value().mPrinted.size());
  for (const auto& setting : outcome.value().mPrinted) {
    STRCMP_CONTAINS(("--" + setting.mName + "=").c_str(), help.c_str());
    STRCMP_CONTAINS(VariableName("MULBERRYVALVE_", setting.mName).c_str(),
                    help.c_str());
  }
  STRCMP_CONTAINS("mulberryvalved ", InstanceVersion().c_str());
}
