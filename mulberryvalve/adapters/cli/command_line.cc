#include "mulberryvalve/adapters/cli/command_line.h"

#include "mulberryvalve/adapters/settings/setting_input.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <utility>

namespace mulberryvalve {
namespace {

using Texts = std::map<std::string, SettingText, std::less<>>;

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

// Raw is a command line before its values are checked.
struct Raw
{
  bool mHelp = false;
  std::vector<std::string> mWords;
  Texts mTexts;
  std::vector<SettingFault> mFaults;
};

// Options are the flags of every command, each name once. popt points into the
// names.
class Options
{
public:
  Options()
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
    for (size_t at = 0; at < mNames.size(); at++) {
      poptOption option{};
      option.longName = mNames[at].c_str();
      option.argInfo = POPT_ARG_STRING;
      option.val = static_cast<int>(at) + kFirstFlagOption;
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
    const std::string name(FlagOf(aFlag).mSpec.mName);
    if (std::find(mNames.begin(), mNames.end(), name) == mNames.end()) {
      mNames.push_back(name);
    }
  }

  std::vector<std::string> mNames;
  std::vector<poptOption> mOptions;
};

SettingFault Fault(SettingFaultKind aKind,
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

void TakeOption(Raw& aRaw, const std::string& aName, poptContext aContext)
{
  const std::unique_ptr<char, decltype(&std::free)> text(
    poptGetOptArg(aContext), &std::free);
  const std::string value = text ? text.get() : "";
  if (!aRaw.mTexts.emplace(aName, SettingText{ value, SettingSource::kFlag })
         .second) {
    aRaw.mFaults.push_back(
      Fault(SettingFaultKind::kDuplicate, aName, value, "once"));
  }
}

Raw ReadRaw(int aArgc, const char* const* aArgv)
{
  Raw raw;
  const Options options;
  std::vector<const char*> arguments(aArgv, aArgv + aArgc);
  arguments.push_back(nullptr);
  const PoptContext context(poptGetContext(
    nullptr, aArgc, arguments.data(), options.Table(), POPT_CONTEXT_NO_EXEC));
  for (int code = poptGetNextOpt(context.get()); code != -1;
       code = poptGetNextOpt(context.get())) {
    if (code == kHelpOption) {
      raw.mHelp = true;
    } else if (code > 0) {
      TakeOption(raw, options.Name(code), context.get());
    } else {
      const char* bad = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
      const bool bare = code == POPT_ERROR_NOARG;
      raw.mFaults.push_back(Fault(
        bare ? SettingFaultKind::kMissing : SettingFaultKind::kUnknownFlag,
        bad == nullptr ? "" : bad,
        "",
        bare ? "a value after the flag" : "the flags of --help"));
    }
  }
  while (const char* word = poptGetArg(context.get())) {
    raw.mWords.emplace_back(word);
  }
  return raw;
}

// Splits the words into a command and its operands.
std::optional<Command> TakeCommand(std::vector<std::string>& aWords)
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

void ReadVariables(Raw& aRaw,
                   const std::vector<Flag>& aFlags,
                   const std::vector<std::string>& aEnvironment)
{
  for (const Flag flag : aFlags) {
    const FlagSpec& row = FlagOf(flag);
    const std::string begin =
      VariableName(kCtlVariablePrefix, row.mSpec.mName) + "=";
    for (const std::string& entry : aEnvironment) {
      if (row.mVariable && entry.compare(0, begin.size(), begin) == 0) {
        aRaw.mTexts.emplace(std::string(row.mSpec.mName),
                            SettingText{ entry.substr(begin.size()),
                                         SettingSource::kEnvironment });
      }
    }
  }
}

void CheckWords(Raw& aRaw, const CommandSpec& aCommand)
{
  for (size_t at = aRaw.mWords.size(); at < aCommand.mOperands.size(); at++) {
    aRaw.mFaults.push_back(Fault(SettingFaultKind::kMissing,
                                 std::string(aCommand.mOperands[at]),
                                 "",
                                 "an operand of the command"));
  }
  for (size_t at = aCommand.mOperands.size(); at < aRaw.mWords.size(); at++) {
    aRaw.mFaults.push_back(
      Fault(SettingFaultKind::kNotAllowed,
            "operand",
            aRaw.mWords[at],
            std::to_string(aCommand.mOperands.size()) + " operands"));
  }
}

void ReadValue(const FlagSpec& aFlag, Raw& aRaw, CommandLine& aLine)
{
  const SettingSpec& spec = aFlag.mSpec;
  const auto given = aRaw.mTexts.find(spec.mName);
  if (given == aRaw.mTexts.end() && !spec.mDefault) {
    if (aFlag.mRequired) {
      aRaw.mFaults.push_back(Fault(SettingFaultKind::kMissing,
                                   std::string(spec.mName),
                                   "",
                                   AllowedValues(spec)));
    }
    return;
  }
  const SettingText text =
    given != aRaw.mTexts.end()
      ? given->second
      : SettingText{ std::string(*spec.mDefault), SettingSource::kDefault };
  const auto value = ParseSettingValue(spec, text.mText);
  if (!value) {
    aRaw.mFaults.push_back({ value.error(),
                             std::string(spec.mName),
                             text.mSource,
                             text.mText,
                             AllowedValues(spec) });
    return;
  }
  aLine.mValues.emplace(aFlag.mFlag, value.value());
}

void RefuseOthers(Raw& aRaw, const std::vector<Flag>& aFlags)
{
  for (const auto& [name, text] : aRaw.mTexts) {
    const bool known =
      std::any_of(aFlags.begin(), aFlags.end(), [&name = name](Flag aFlag) {
        return FlagOf(aFlag).mSpec.mName == name;
      });
    if (!known) {
      aRaw.mFaults.push_back(Fault(SettingFaultKind::kUnknownFlag,
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

OutputForm CommandLine::Output() const
{
  return kOutputFormNames.Find(Text(Flag::kOutput)).value_or(OutputForm::kText);
}

CommandLineOutcome ReadCommandLine(int aArgc,
                                   const char* const* aArgv,
                                   const std::vector<std::string>& aEnvironment)
{
  Raw raw = ReadRaw(aArgc, aArgv);
  CommandLine line;
  line.mHelp = raw.mHelp;
  const std::string first = raw.mWords.empty() ? "" : raw.mWords.front();
  line.mCommand = TakeCommand(raw.mWords);
  if (raw.mHelp) {
    return line;
  }
  if (!line.mCommand) {
    raw.mFaults.push_back(Fault(SettingFaultKind::kNotAllowed,
                                "command",
                                first,
                                kCommandNames.JoinedNames()));
    return std::move(raw.mFaults);
  }
  const CommandSpec& command = CommandOf(*line.mCommand);
  std::vector<Flag> flags = command.mFlags;
  flags.insert(flags.end(), kCommonFlags.begin(), kCommonFlags.end());
  RefuseOthers(raw, flags);
  ReadVariables(raw, flags, aEnvironment);
  CheckWords(raw, command);
  for (const Flag flag : flags) {
    ReadValue(FlagOf(flag), raw, line);
  }
  if (!raw.mFaults.empty()) {
    return std::move(raw.mFaults);
  }
  line.mOperands = std::move(raw.mWords);
  return line;
}

} // namespace mulberryvalve
