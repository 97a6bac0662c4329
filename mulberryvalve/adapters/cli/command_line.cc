#include "mulberryvalve/adapters/cli/command_line.h"

#include "mulberryvalve/adapters/settings/setting_input.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <utility>

namespace mulberryvalve {
namespace {

using TextsByFlagName = std::map<std::string, SettingText, std::less<>>;

struct PoptContextDeleter
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};
using PoptContext =
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter>;

constexpr std::array kCommonFlags{ Flag::kEndpoint,
                                   Flag::kOutput,
                                   Flag::kTimeout };
constexpr int kHelpOption = 1;
constexpr int kFirstFlagOption = 2;

// UncheckedCommandLine is a command line whose values are not validated yet.
struct UncheckedCommandLine
{
  bool mHelp = false;
  std::vector<std::string> mWords;
  TextsByFlagName mTexts;
  std::vector<SettingFault> mFaults;
};

// PoptOptions is the popt table with the flags of all commands, each name once.
// It owns the names that the table points to.
class PoptOptions
{
public:
  PoptOptions()
  {
    for (const CommandSpec& command : Commands()) {
      for (const Flag flag : command.mFlags) {
        AddName(flag);
      }
    }
    for (const Flag flag : kCommonFlags) {
      AddName(flag);
    }
    poptOption help{};
    help.longName = "help";
    help.argInfo = POPT_ARG_NONE;
    help.val = kHelpOption;
    mOptions.push_back(help);
    for (size_t index = 0; index < mNames.size(); index++) {
      poptOption option{};
      option.longName = mNames[index].c_str();
      option.argInfo = POPT_ARG_STRING;
      option.val = static_cast<int>(index) + kFirstFlagOption;
      mOptions.push_back(option);
    }
    mOptions.push_back(poptOption{});
  }

  const poptOption* Table() const { return mOptions.data(); }
  const std::string& Name(int aOption) const
  {
    return mNames.at(aOption - kFirstFlagOption);
  }

private:
  void AddName(Flag aFlag)
  {
    const std::string name(FlagSpecOf(aFlag).mSpec.mName);
    if (std::find(mNames.begin(), mNames.end(), name) == mNames.end()) {
      mNames.push_back(name);
    }
  }

  std::vector<std::string> mNames;
  std::vector<poptOption> mOptions;
};

SettingFault FlagFault(SettingFaultKind aKind,
                       std::string aField,
                       std::string aValue,
                       std::string aAllowed)
{
  return { aKind,
           std::move(aField),
           SettingSource::kFlag,
           std::move(aValue),
           std::move(aAllowed) };
}

void AddFlagText(UncheckedCommandLine& aUnchecked,
                 const std::string& aName,
                 poptContext aContext)
{
  const std::unique_ptr<char, decltype(&std::free)> text(
    poptGetOptArg(aContext), &std::free);
  const std::string value = text ? text.get() : "";
  if (!aUnchecked.mTexts
         .emplace(aName, SettingText{ value, SettingSource::kFlag })
         .second) {
    aUnchecked.mFaults.push_back(
      FlagFault(SettingFaultKind::kDuplicate, aName, value, "once"));
  }
}

UncheckedCommandLine ReadWithPopt(int aArgc, const char* const* aArgv)
{
  UncheckedCommandLine unchecked;
  const PoptOptions poptOptions;
  std::vector<const char*> arguments(aArgv, aArgv + aArgc);
  arguments.push_back(nullptr);
  const PoptContext context(poptGetContext(nullptr,
                                           aArgc,
                                           arguments.data(),
                                           poptOptions.Table(),
                                           POPT_CONTEXT_NO_EXEC));
  for (int code = poptGetNextOpt(context.get()); code != -1;
       code = poptGetNextOpt(context.get())) {
    if (code == kHelpOption) {
      unchecked.mHelp = true;
    } else if (code > 0) {
      AddFlagText(unchecked, poptOptions.Name(code), context.get());
    } else {
      const char* badOption =
        poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
      const bool valueMissing = code == POPT_ERROR_NOARG;
      unchecked.mFaults.push_back(FlagFault(
        valueMissing ? SettingFaultKind::kMissing
                     : SettingFaultKind::kUnknownFlag,
        badOption == nullptr ? "" : badOption,
        "",
        valueMissing ? "a value after the flag" : "the flags of --help"));
    }
  }
  while (const char* word = poptGetArg(context.get())) {
    unchecked.mWords.emplace_back(word);
  }
  return unchecked;
}

// Removes the command from the front of aWords, which leaves its operands.
std::optional<Command> ExtractCommand(std::vector<std::string>& aWords)
{
  for (const size_t count : { size_t{ 2 }, size_t{ 1 } }) {
    if (aWords.size() < count) {
      continue;
    }
    const std::string name =
      count == 1 ? aWords[0] : aWords[0] + " " + aWords[1];
    if (const auto command = kCommandNames.Find(name)) {
      aWords.erase(aWords.begin(),
                   aWords.begin() + static_cast<std::ptrdiff_t>(count));
      return command;
    }
  }
  return std::nullopt;
}

void ReadVariables(UncheckedCommandLine& aUnchecked,
                   const std::vector<Flag>& aFlags,
                   const std::vector<std::string>& aEnvironment)
{
  for (const Flag flag : aFlags) {
    const FlagSpec& row = FlagSpecOf(flag);
    const std::string begin =
      VariableName(kCtlVariablePrefix, row.mSpec.mName) + "=";
    for (const std::string& entry : aEnvironment) {
      if (row.mAllowsVariable && entry.compare(0, begin.size(), begin) == 0) {
        aUnchecked.mTexts.emplace(std::string(row.mSpec.mName),
                                  SettingText{ entry.substr(begin.size()),
                                               SettingSource::kEnvironment });
      }
    }
  }
}

void CheckOperandCount(UncheckedCommandLine& aUnchecked,
                       const CommandSpec& aCommand)
{
  for (size_t index = aUnchecked.mWords.size();
       index < aCommand.mOperands.size();
       index++) {
    aUnchecked.mFaults.push_back(
      FlagFault(SettingFaultKind::kMissing,
                std::string(aCommand.mOperands[index]),
                "",
                "an operand of the command"));
  }
  for (size_t index = aCommand.mOperands.size();
       index < aUnchecked.mWords.size();
       index++) {
    aUnchecked.mFaults.push_back(
      FlagFault(SettingFaultKind::kNotAllowed,
                "operand",
                aUnchecked.mWords[index],
                std::to_string(aCommand.mOperands.size()) + " operands"));
  }
}

void ReadValue(const FlagSpec& aFlag,
               UncheckedCommandLine& aUnchecked,
               CommandLine& aLine)
{
  const SettingSpec& spec = aFlag.mSpec;
  const auto given = aUnchecked.mTexts.find(spec.mName);
  if (given == aUnchecked.mTexts.end() && !spec.mDefault) {
    if (aFlag.mRequired) {
      aUnchecked.mFaults.push_back(FlagFault(SettingFaultKind::kMissing,
                                             std::string(spec.mName),
                                             "",
                                             AllowedValues(spec)));
    }
    return;
  }
  const SettingText text =
    given != aUnchecked.mTexts.end()
      ? given->second
      : SettingText{ std::string(*spec.mDefault), SettingSource::kDefault };
  const auto value = ParseSettingValue(spec, text.mText);
  if (!value) {
    aUnchecked.mFaults.push_back({ value.error(),
                                   std::string(spec.mName),
                                   text.mSource,
                                   text.mText,
                                   AllowedValues(spec) });
    return;
  }
  aLine.mValues.emplace(aFlag.mFlag, value.value());
}

void RejectOtherFlags(UncheckedCommandLine& aUnchecked,
                      const std::vector<Flag>& aFlags)
{
  for (const auto& [name, text] : aUnchecked.mTexts) {
    const bool known =
      std::any_of(aFlags.begin(), aFlags.end(), [&name = name](Flag aFlag) {
        return FlagSpecOf(aFlag).mSpec.mName == name;
      });
    if (!known) {
      aUnchecked.mFaults.push_back(
        FlagFault(SettingFaultKind::kUnknownFlag,
                  name,
                  text.mText,
                  "the flags of this command's --help"));
    }
  }
}

} // namespace

std::string CommandLine::Text(Flag aFlag) const
{
  const auto found = mValues.find(aFlag);
  return found == mValues.end() ? "" : found->second.mTexts.front();
}

int64_t CommandLine::Number(Flag aFlag) const
{
  const auto found = mValues.find(aFlag);
  return found == mValues.end() ? 0 : found->second.mNumber;
}

std::vector<Endpoint> CommandLine::Endpoints() const
{
  const auto found = mValues.find(Flag::kEndpoint);
  return found == mValues.end() ? std::vector<Endpoint>()
                                : found->second.mEndpoints;
}

OutputFormat CommandLine::Output() const
{
  return kOutputFormatNames.Find(Text(Flag::kOutput))
    .value_or(OutputFormat::kText);
}

CommandLineOutcome ReadCommandLine(int aArgc,
                                   const char* const* aArgv,
                                   const std::vector<std::string>& aEnvironment)
{
  UncheckedCommandLine unchecked = ReadWithPopt(aArgc, aArgv);
  CommandLine line;
  line.mHelp = unchecked.mHelp;
  const std::string first =
    unchecked.mWords.empty() ? "" : unchecked.mWords.front();
  line.mCommand = ExtractCommand(unchecked.mWords);
  if (unchecked.mHelp) {
    return line;
  }
  if (!line.mCommand) {
    unchecked.mFaults.push_back(FlagFault(SettingFaultKind::kNotAllowed,
                                          "command",
                                          first,
                                          kCommandNames.JoinedNames()));
    return std::move(unchecked.mFaults);
  }
  const CommandSpec& command = CommandSpecOf(*line.mCommand);
  std::vector<Flag> flags = command.mFlags;
  flags.insert(flags.end(), kCommonFlags.begin(), kCommonFlags.end());
  RejectOtherFlags(unchecked, flags);
  ReadVariables(unchecked, flags, aEnvironment);
  CheckOperandCount(unchecked, command);
  for (const Flag flag : flags) {
    ReadValue(FlagSpecOf(flag), unchecked, line);
  }
  if (!unchecked.mFaults.empty()) {
    return std::move(unchecked.mFaults);
  }
  line.mOperands = std::move(unchecked.mWords);
  return line;
}

} // namespace mulberryvalve
