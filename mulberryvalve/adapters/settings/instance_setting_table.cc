#include "mulberryvalve/adapters/settings/instance_setting_table.h"

#include <limits>
#include <type_traits>

namespace mulberryvalve {
namespace {

constexpr std::string_view kVariablePrefix = "MULBERRYVALVE_";
constexpr int64_t kMaxPeers = 64;
constexpr int64_t kMaxDomains = 64;
constexpr int64_t kMaxPathBytes = 4096;
constexpr int64_t kMaxSeed = std::numeric_limits<int64_t>::max();

template<auto Member>
void SetName(InstanceSettings& aSettings, const SettingValue& aValue)
{
  using Id = std::decay_t<decltype(aSettings.*Member)>;
  aSettings.*Member = Id(aValue.mTexts.front());
}

template<auto Member>
std::string PrintName(const InstanceSettings& aSettings)
{
  return (aSettings.*Member).Text();
}

template<auto Member>
void SetNames(InstanceSettings& aSettings, const SettingValue& aValue)
{
  auto& names = aSettings.*Member;
  names.clear();
  for (const auto& text : aValue.mTexts) {
    names.emplace_back(text);
  }
}

template<auto Member>
std::string PrintNames(const InstanceSettings& aSettings)
{
  std::string all;
  for (const auto& name : aSettings.*Member) {
    all += (all.empty() ? "" : ",") + name.Text();
  }
  return all;
}

template<auto Member>
void SetEndpoint(InstanceSettings& aSettings, const SettingValue& aValue)
{
  aSettings.*Member = aValue.mEndpoints.front();
}

template<auto Member>
std::string PrintOneEndpoint(const InstanceSettings& aSettings)
{
  return PrintEndpoint(aSettings.*Member);
}

template<auto Member>
void SetEndpoints(InstanceSettings& aSettings, const SettingValue& aValue)
{
  aSettings.*Member = aValue.mEndpoints;
}

template<auto Member>
std::string PrintAllEndpoints(const InstanceSettings& aSettings)
{
  return PrintEndpoints(aSettings.*Member);
}

template<auto Member>
void SetNumber(InstanceSettings& aSettings, const SettingValue& aValue)
{
  using Number = std::decay_t<decltype(aSettings.*Member)>;
  aSettings.*Member = static_cast<Number>(aValue.mNumber);
}

template<auto Member>
std::string PrintNumber(const InstanceSettings& aSettings)
{
  return std::to_string(aSettings.*Member);
}

template<auto Member>
void SetPeriod(InstanceSettings& aSettings, const SettingValue& aValue)
{
  aSettings.*Member = Milliseconds(aValue.mNumber);
}

template<auto Member>
std::string PrintPeriod(const InstanceSettings& aSettings)
{
  return std::to_string((aSettings.*Member).count());
}

template<auto Member>
void SetLevel(InstanceSettings& aSettings, const SettingValue& aValue)
{
  const auto level = kEventLevelNames.Find(aValue.mTexts.front());
  aSettings.*Member = level.value_or(EventLevel::kInfo);
}

template<auto Member>
std::string PrintLevel(const InstanceSettings& aSettings)
{
  return std::string(kEventLevelNames.Name(aSettings.*Member));
}

template<auto Member>
void SetText(InstanceSettings& aSettings, const SettingValue& aValue)
{
  aSettings.*Member = aValue.mTexts.front();
}

template<auto Member>
std::string PrintText(const InstanceSettings& aSettings)
{
  return aSettings.*Member;
}

std::vector<std::string_view> LevelNames()
{
  std::vector<std::string_view> names;
  for (const auto& row : kEventLevelNames.mRows) {
    names.push_back(row.mName);
  }
  return names;
}

using Descriptor = SettingDescriptor<InstanceSettings>;

template<auto Member>
Descriptor RequiredName(std::string_view aName, std::string_view aHelp)
{
  return { { aName, SettingValueKind::kName, std::nullopt, 0, 0, aHelp, {} },
           SetName<Member>,
           PrintName<Member> };
}

template<auto Member>
Descriptor RequiredNames(std::string_view aName,
                         int64_t aMin,
                         int64_t aMax,
                         std::string_view aHelp)
{
  return {
    { aName, SettingValueKind::kNameList, std::nullopt, aMin, aMax, aHelp, {} },
    SetNames<Member>,
    PrintNames<Member>
  };
}

template<auto Member>
Descriptor RequiredEndpoint(std::string_view aName, std::string_view aHelp)
{
  return {
    { aName, SettingValueKind::kEndpoint, std::nullopt, 0, 0, aHelp, {} },
    SetEndpoint<Member>,
    PrintOneEndpoint<Member>
  };
}

template<auto Member>
Descriptor OptionalEndpoints(std::string_view aName,
                             int64_t aMax,
                             std::string_view aHelp)
{
  return { { aName, SettingValueKind::kEndpointList, "", 0, aMax, aHelp, {} },
           SetEndpoints<Member>,
           PrintAllEndpoints<Member> };
}

template<auto Member>
Descriptor Number(std::string_view aName,
                  std::string_view aDefault,
                  int64_t aMin,
                  int64_t aMax,
                  std::string_view aHelp)
{
  return {
    { aName, SettingValueKind::kNumber, aDefault, aMin, aMax, aHelp, {} },
    SetNumber<Member>,
    PrintNumber<Member>
  };
}

template<auto Member>
Descriptor Period(std::string_view aName,
                  std::string_view aDefault,
                  int64_t aMin,
                  int64_t aMax,
                  std::string_view aHelp)
{
  return {
    { aName, SettingValueKind::kMilliseconds, aDefault, aMin, aMax, aHelp, {} },
    SetPeriod<Member>,
    PrintPeriod<Member>
  };
}

template<auto Member>
Descriptor Level(std::string_view aName,
                 std::string_view aDefault,
                 std::string_view aHelp)
{
  return {
    { aName, SettingValueKind::kChoice, aDefault, 0, 0, aHelp, LevelNames() },
    SetLevel<Member>,
    PrintLevel<Member>
  };
}

template<auto Member>
Descriptor Text(std::string_view aName,
                std::string_view aDefault,
                int64_t aMax,
                std::string_view aHelp)
{
  return { { aName, SettingValueKind::kText, aDefault, 0, aMax, aHelp, {} },
           SetText<Member>,
           PrintText<Member> };
}

} // namespace

const SettingTable<InstanceSettings>& InstanceSettingTable()
{
  using S = InstanceSettings;
  static const SettingTable<InstanceSettings> kTable(
    kVariablePrefix,
    {
      RequiredName<&S::mInstance>("instance", "Identifier of this instance"),
      RequiredName<&S::mDomain>("domain", "Failure domain of this instance"),
      RequiredEndpoint<&S::mCallerListen>(
        "caller-listen", "Address of HTTP for callers and operators"),
      RequiredEndpoint<&S::mPeerListen>("peer-listen",
                                        "Address for the other instances"),
      OptionalEndpoints<&S::mPeers>(
        "peers", kMaxPeers, "Peer addresses of the other instances"),
      RequiredEndpoint<&S::mPlatform>(
        "platform", "Address of the platform's log and instance list"),
      RequiredNames<&S::mDomains>(
        "domains", 1, kMaxDomains, "All failure domains, the own one included"),
      Number<&S::mShardsPerDomain>("shards-per-domain",
                                   "1",
                                   1,
                                   64,
                                   "Number of shards in each failure domain"),
      Period<&S::mHeadStaleness>(
        "head-staleness-ms",
        "1500",
        200,
        5000,
        "Greatest age of a confirmed log head at which a task may start"),
      Period<&S::mClockAllowance>(
        "clock-allowance-ms",
        "300",
        0,
        5000,
        "Allowance for the difference of clock rates"),
      Period<&S::mLease>(
        "lease-ms", "30000", 2000, 600000, "Duration of a lease"),
      Period<&S::mRenewalWindow>(
        "renewal-window-ms",
        "600000",
        2000,
        7200000,
        "Period in which a lease may be renewed, at least lease-ms"),
      Period<&S::mCommitWindow>(
        "commit-window-ms",
        "33",
        1,
        1000,
        "Period over which records are gathered in one append"),
      Period<&S::mSyncInterval>("sync-interval-ms",
                                "500",
                                50,
                                10000,
                                "Period between two syncs with a worker"),
      Period<&S::mHeartbeat>("heartbeat-ms",
                             "500",
                             50,
                             10000,
                             "Period between two digests to the peers"),
      Period<&S::mPeerDead>("peer-dead-ms",
                            "3000",
                            100,
                            600000,
                            "Silence after which a peer counts as dead, at "
                            "least twice heartbeat-ms"),
      Period<&S::mDrain>(
        "drain-ms", "20000", 100, 600000, "Time limit of a graceful shutdown"),
      Number<&S::mCallerThreads>("caller-threads",
                                 "128",
                                 4,
                                 1024,
                                 "Number of threads that serve callers"),
      Number<&S::mMaxBodyBytes>("max-body-bytes",
                                "262144",
                                1024,
                                1048576,
                                "Greatest size of a request body"),
      Period<&S::mRequestDeadline>("request-deadline-ms",
                                   "2000",
                                   10,
                                   60000,
                                   "Time limit of a request that names none"),
      Number<&S::mRandomSeed>(
        "random-seed",
        "0",
        0,
        kMaxSeed,
        "Seed of random choices, 0 for one from the system"),
      Level<&S::mLogLevel>(
        "log-level", "info", "Least level of the events that are logged"),
      Text<&S::mLogFile>("log-file",
                         "",
                         kMaxPathBytes,
                         "File of the event log, empty for the standard error"),
    });
  return kTable;
}

} // namespace mulberryvalve
