#include "mulberryvalve/adapters/json/json_bundle_reader.h"

#include "mulberryvalve/adapters/json/json_reader.h"

#include <set>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxTeams = 10'000;
constexpr int64_t kMaxAmount = 1'000'000'000;

// Section reads the fields of one object of the document and appends its
// faults, each with its path.
class Section
{
public:
  Section(const json& aObject,
          std::string aPath,
          std::vector<BundleFault>& aFaults)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFaults(aFaults)
  {
  }

  int64_t Number(const char* aName,
                 int64_t aDefault,
                 int64_t aLow,
                 int64_t aHigh)
  {
    const json* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    const std::string allowed =
      std::to_string(aLow) + " to " + std::to_string(aHigh);
    if (!value->is_number_integer()) {
      AddFault(BundleFaultKind::kWrongType, aName, value->dump(), allowed);
      return aDefault;
    }
    if (*value < aLow || *value > aHigh) {
      AddFault(BundleFaultKind::kOutOfRange, aName, value->dump(), allowed);
      return aDefault;
    }
    return value->get<int64_t>();
  }

  bool Flag(const char* aName, bool aDefault)
  {
    const json* value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_boolean()) {
      AddFault(
        BundleFaultKind::kWrongType, aName, value->dump(), "true or false");
      return aDefault;
    }
    return value->get<bool>();
  }

  std::string Text(const char* aName)
  {
    const json* value = Find(aName);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_string() ||
        value->get_ref<const std::string&>().size() > kMaxShortText) {
      AddFault(
        BundleFaultKind::kWrongType, aName, "", "a text of at most 256 bytes");
      return "";
    }
    return value->get<std::string>();
  }

  template<typename E, size_t N>
  E Enum(const char* aName, const EnumTable<E, N>& aTable, E aDefault)
  {
    const std::string text = Text(aName);
    const auto value = aTable.Find(text);
    if (!text.empty() && !value) {
      AddFault(BundleFaultKind::kNotAllowed, aName, text, aTable.JoinedNames());
    }
    return value.value_or(aDefault);
  }

  const json& Object(const char* aName)
  {
    static const json kEmpty = json::object();
    const json* value = Find(aName);
    if (value == nullptr) {
      return kEmpty;
    }
    if (!value->is_object()) {
      AddFault(BundleFaultKind::kWrongType, aName, "", "an object");
      return kEmpty;
    }
    return *value;
  }

  void Require(const char* aName)
  {
    if (!mObject.contains(aName)) {
      AddFault(BundleFaultKind::kMissing, aName, "", "a value");
    }
  }

  // Reports every field that was not read as unknown.
  void ReportUnknownFields()
  {
    for (const auto& [name, value] : mObject.items()) {
      if (mReadNames.count(name) == 0) {
        AddFault(BundleFaultKind::kUnknownField, name.c_str(), "", "");
      }
    }
  }

  std::string PathOf(const std::string& aName) const
  {
    return mPath.empty() ? aName : mPath + "." + aName;
  }

  void AddFault(BundleFaultKind aKind,
                const char* aName,
                std::string aValue,
                std::string aAllowed)
  {
    mFaults.push_back(BundleFault{
      aKind, PathOf(aName), std::move(aValue), std::move(aAllowed) });
  }

private:
  const json* Find(const char* aName)
  {
    mReadNames.insert(aName);
    const auto found = mObject.find(aName);
    return found == mObject.end() ? nullptr : &*found;
  }

  const json& mObject;
  const std::string mPath;
  std::vector<BundleFault>& mFaults;
  std::set<std::string> mReadNames;
};

Resources ReadSectionResources(Section& aSection, const Resources& aDefault)
{
  Resources resources;
  resources.mCpuMillis =
    aSection.Number("cpu_millis", aDefault.mCpuMillis, 0, kMaxAmount);
  resources.mMemoryMb =
    aSection.Number("memory_mb", aDefault.mMemoryMb, 0, kMaxAmount);
  resources.mAccelerators =
    aSection.Number("accelerators", aDefault.mAccelerators, 0, kMaxAmount);
  return resources;
}

PlacementRules ReadPlacement(const json& aObject,
                             std::vector<BundleFault>& aFaults)
{
  PlacementRules rules;
  Section section(aObject, "placement", aFaults);
  const json& reserveObject = section.Object("request_reserve");
  Section reserve(reserveObject, section.PathOf("request_reserve"), aFaults);
  rules.mRequestReserve = ReadSectionResources(reserve, rules.mRequestReserve);
  reserve.ReportUnknownFields();
  rules.mSpreadRacks = section.Flag("spread_racks", rules.mSpreadRacks);
  rules.mRequestP99 = Milliseconds(section.Number(
    "request_p99_ms",
    std::chrono::duration_cast<Milliseconds>(rules.mRequestP99).count(),
    1,
    600'000));
  section.ReportUnknownFields();
  return rules;
}

Limits ReadLimits(const json& aObject, std::vector<BundleFault>& aFaults)
{
  constexpr int64_t kMaxRate = 100'000;
  Limits limits;
  Section section(aObject, "limits", aFaults);
  limits.mMaxAttempts =
    section.Number("max_attempts", limits.mMaxAttempts, 1, 1000);
  limits.mStartsPerSecond =
    section.Number("starts_per_second", limits.mStartsPerSecond, 1, kMaxRate);
  limits.mEvictionsPerSecond = section.Number(
    "evictions_per_second", limits.mEvictionsPerSecond, 1, kMaxRate);
  limits.mMovesPerSecond =
    section.Number("moves_per_second", limits.mMovesPerSecond, 1, kMaxRate);
  limits.mRequestQueue =
    section.Number("request_queue", limits.mRequestQueue, 0, kMaxRate);
  limits.mRetryPercent =
    section.Number("retry_percent", limits.mRetryPercent, 0, 100);
  limits.mHedgeBelowLoadPercent = section.Number(
    "hedge_below_load_percent", limits.mHedgeBelowLoadPercent, 0, 100);
  limits.mThrottlePercent =
    section.Number("throttle_percent", limits.mThrottlePercent, 1, 100);
  section.ReportUnknownFields();
  return limits;
}

std::map<TeamId, TeamQuota> ReadTeams(const json& aObject,
                                      std::vector<BundleFault>& aFaults)
{
  std::map<TeamId, TeamQuota> teams;
  for (const auto& [name, value] : aObject.items()) {
    const std::string path = "teams." + name;
    if (name.empty() || name.size() > kMaxShortText ||
        teams.size() >= kMaxTeams) {
      aFaults.push_back(
        { BundleFaultKind::kBadName, path, name, "1 to 256 bytes" });
      continue;
    }
    if (!value.is_object()) {
      aFaults.push_back({ BundleFaultKind::kWrongType, path, "", "an object" });
      continue;
    }
    Section section(value, path, aFaults);
    TeamQuota quota;
    quota.mResources = ReadSectionResources(section, Resources());
    quota.mHighestPriority =
      section.Enum("highest_priority", kPriorityNames, quota.mHighestPriority);
    section.Require("cpu_millis");
    section.Require("memory_mb");
    section.ReportUnknownFields();
    teams[TeamId(name)] = quota;
  }
  return teams;
}

} // namespace

CheckedBundle JsonBundleReader::Read(const std::string& aDocument) const
{
  CheckedBundle checked;
  const Result<json> parsed = ParseJson(aDocument, kMaxBundleBytes);
  if (!parsed) {
    const bool large = parsed.error().mKind == FailureKind::kTooLarge;
    checked.mFaults.push_back(
      { large ? BundleFaultKind::kTooLarge : BundleFaultKind::kMalformed,
        "",
        "",
        parsed.error().mDetail });
    return checked;
  }
  Bundle& bundle = checked.mBundle;
  Section top(parsed.value(), "", checked.mFaults);
  top.Require("version");
  top.Require("name");
  bundle.mVersion = BundleVersion(top.Number("version", 1, 1, INT64_MAX));
  bundle.mName = top.Text("name");
  bundle.mPlacement = ReadPlacement(top.Object("placement"), checked.mFaults);
  bundle.mLimits = ReadLimits(top.Object("limits"), checked.mFaults);
  Section priorities(top.Object("priorities"), "priorities", checked.mFaults);
  bundle.mPriorities.mAgingStep = Milliseconds(priorities.Number(
    "aging_step_ms", bundle.mPriorities.mAgingStep.count(), 100, 86'400'000));
  priorities.ReportUnknownFields();
  bundle.mTeams = ReadTeams(top.Object("teams"), checked.mFaults);
  top.ReportUnknownFields();
  return checked;
}

} // namespace mulberryvalve
