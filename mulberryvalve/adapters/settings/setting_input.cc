#include "mulberryvalve/adapters/settings/setting_input.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace mulberryvalve {
namespace {

constexpr std::string_view kFlagSyntax = "--NAME=VALUE, see --help";

struct PoptContextDeleter
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};
using PoptContext =
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter>;

// OptionTable builds the popt options and owns the names they point to. The
// value of an option is its index plus one; modes come after the settings.
class OptionTable
{
public:
  explicit OptionTable(const std::vector<SettingSpec>& aSpecs)
  {
    for (const auto& spec : aSpecs) {
      mNames.emplace_back(spec.mName);
    }
    mSettingCount = mNames.size();
    for (const auto& row : kSettingsModeNames.mRows) {
      if (row.mValue != SettingsMode::kRun) {
        mNames.emplace_back(row.mName);
      }
    }
    for (size_t i = 0; i < mNames.size(); i++) {
      poptOption option{};
      option.longName = mNames[i].c_str();
      option.argInfo = i < mSettingCount ? POPT_ARG_STRING : POPT_ARG_NONE;
      option.val = static_cast<int>(i + 1);
      mOptions.push_back(option);
    }
    mOptions.push_back(poptOption{});
  }

  const poptOption* Options() const { return mOptions.data(); }
  const std::string& Name(int aValue) const { return mNames.at(aValue - 1); }
  bool IsSetting(int aValue) const
  {
    return static_cast<size_t>(aValue) <= mSettingCount;
  }

private:
  std::vector<std::string> mNames;
  size_t mSettingCount = 0;
  std::vector<poptOption> mOptions;
};

// AddSettingText adds the text of a setting. A duplicate from the same source
// is a fault; one from a source read later is ignored.
void AddSettingText(SettingInput& aInput,
                    const std::string& aName,
                    SettingText aText)
{
  const auto existing = aInput.mTexts.find(aName);
  if (existing == aInput.mTexts.end()) {
    aInput.mTexts.emplace(aName, std::move(aText));
    return;
  }
  if (existing->second.mSource == aText.mSource) {
    aInput.mFaults.push_back({ SettingFaultKind::kDuplicate,
                               aName,
                               aText.mSource,
                               aText.mText,
                               "once" });
  }
}

SettingFault FaultFromPoptError(int aCode, const std::string& aOption)
{
  const std::string field =
    aOption.substr(std::min(aOption.size(), aOption.find_first_not_of('-')));
  const std::string name = field.substr(0, field.find('='));
  switch (aCode) {
    case POPT_ERROR_NOARG:
      return { SettingFaultKind::kMissing,
               name,
               SettingSource::kFlag,
               "",
               "a value after the flag" };
    case POPT_ERROR_UNWANTEDARG:
      return { SettingFaultKind::kNotAllowed,
               name,
               SettingSource::kFlag,
               aOption,
               "the flag without a value" };
    default:
      return { SettingFaultKind::kUnknownFlag,
               name,
               SettingSource::kFlag,
               aOption,
               std::string(kFlagSyntax) };
  }
}

void SelectMode(SettingInput& aInput, const std::string& aName)
{
  const auto mode = kSettingsModeNames.Find(aName);
  if (mode) {
    aInput.mMode = std::min(aInput.mMode, *mode);
  }
}

void ReadFlag(SettingInput& aInput,
              const OptionTable& aTable,
              poptContext aContext,
              int aValue)
{
  const std::string& name = aTable.Name(aValue);
  if (!aTable.IsSetting(aValue)) {
    SelectMode(aInput, name);
    return;
  }
  const std::unique_ptr<char, decltype(&std::free)> text(
    poptGetOptArg(aContext), &std::free);
  AddSettingText(
    aInput, name, { text ? text.get() : "", SettingSource::kFlag });
}

void ReadFlags(SettingInput& aInput,
               const std::vector<SettingSpec>& aSpecs,
               int aArgc,
               const char* const* aArgv)
{
  if (aArgc < 1) {
    return;
  }
  const OptionTable table(aSpecs);
  std::vector<const char*> arguments(aArgv, aArgv + aArgc);
  arguments.push_back(nullptr);
  const PoptContext context(poptGetContext(
    nullptr, aArgc, arguments.data(), table.Options(), POPT_CONTEXT_NO_EXEC));
  for (int code = poptGetNextOpt(context.get()); code != -1;
       code = poptGetNextOpt(context.get())) {
    if (code > 0) {
      ReadFlag(aInput, table, context.get(), code);
      continue;
    }
    const char* option = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
    aInput.mFaults.push_back(FaultFromPoptError(code, option ? option : ""));
  }
  while (const char* argument = poptGetArg(context.get())) {
    aInput.mFaults.push_back({ SettingFaultKind::kUnknownFlag,
                               argument,
                               SettingSource::kFlag,
                               argument,
                               std::string(kFlagSyntax) });
  }
}

void ReadVariable(SettingInput& aInput,
                  const std::vector<SettingSpec>& aSpecs,
                  std::string_view aPrefix,
                  const std::string& aEntry)
{
  const size_t equals = aEntry.find('=');
  const std::string variable = aEntry.substr(0, equals);
  const std::string text =
    equals == std::string::npos ? "" : aEntry.substr(equals + 1);
  for (const auto& spec : aSpecs) {
    if (VariableName(aPrefix, spec.mName) == variable) {
      AddSettingText(
        aInput, std::string(spec.mName), { text, SettingSource::kEnvironment });
      return;
    }
  }
  aInput.mFaults.push_back({ SettingFaultKind::kUnknownVariable,
                             variable,
                             SettingSource::kEnvironment,
                             text,
                             "the variables that --help lists" });
}

} // namespace

std::string VariableName(std::string_view aPrefix, std::string_view aFlag)
{
  std::string name(aPrefix);
  for (const char letter : aFlag) {
    const int upper = std::toupper(static_cast<unsigned char>(letter));
    name += letter == '-' ? '_' : static_cast<char>(upper);
  }
  return name;
}

SettingInput ReadSettingInput(const std::vector<SettingSpec>& aSpecs,
                              std::string_view aPrefix,
                              int aArgc,
                              const char* const* aArgv,
                              const std::vector<std::string>& aEnvironment)
{
  SettingInput input;
  ReadFlags(input, aSpecs, aArgc, aArgv);
  for (const auto& entry : aEnvironment) {
    if (entry.compare(0, aPrefix.size(), aPrefix) == 0) {
      ReadVariable(input, aSpecs, aPrefix, entry);
    }
  }
  return input;
}

} // namespace mulberryvalve
