#include "mulberryvalve/adapters/cli/command_spec.h"

#include "mulberryvalve/adapters/cli/exit_code.h"
#include "mulberryvalve/adapters/settings/setting_input.h"
#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/core/model/task.h"

namespace mulberryvalve {
namespace {

using K = SettingValueKind;

constexpr int64_t kMaxNameBytes = 100;
constexpr int64_t kMaxShortBytes = 256;
constexpr int64_t kMaxPayloadBytes = 16384;
constexpr int64_t kMaxBodyBytes = 262144;
constexpr int64_t kMaxEndpoints = 64;
constexpr int64_t kMaxAmount = 1'000'000'000;
constexpr int64_t kMaxParts = 10'000;
constexpr int64_t kMaxRows = 1000;
constexpr int64_t kMaxTimeoutMs = 60'000;
constexpr size_t kNameColumn = 18;

template<typename E, size_t N>
std::vector<std::string_view> NamesOf(const EnumTable<E, N>& aTable)
{
  std::vector<std::string_view> names;
  for (const auto& row : aTable.mRows) {
    names.push_back(row.mName);
  }
  return names;
}

FlagSpec Text(Flag aFlag,
              std::string_view aName,
              int64_t aMin,
              int64_t aMax,
              std::string_view aHelp)
{
  return { aFlag, { aName, K::kText, std::nullopt, aMin, aMax, aHelp, {} } };
}

FlagSpec Number(Flag aFlag,
                std::string_view aName,
                std::optional<std::string_view> aDefault,
                int64_t aMin,
                int64_t aMax,
                std::string_view aHelp)
{
  return { aFlag, { aName, K::kNumber, aDefault, aMin, aMax, aHelp, {} } };
}

FlagSpec Choice(Flag aFlag,
                std::string_view aName,
                std::string_view aDefault,
                std::vector<std::string_view> aChoices,
                std::string_view aHelp)
{
  return { aFlag,
           { aName, K::kChoice, aDefault, 0, 0, aHelp, std::move(aChoices) } };
}

FlagSpec WithVariable(FlagSpec aSpec)
{
  aSpec.mAllowsVariable = true;
  return aSpec;
}

FlagSpec Required(FlagSpec aSpec)
{
  aSpec.mRequired = true;
  return aSpec;
}

std::vector<FlagSpec> MakeFlags()
{
  return {
    WithVariable({ Flag::kEndpoint,
                   { "endpoint",
                     K::kEndpointList,
                     "127.0.0.1:8080",
                     1,
                     kMaxEndpoints,
                     "Instances to ask; the next one is tried when a "
                     "connection could not be made",
                     {} } }),
    WithVariable(Choice(
      Flag::kOutput, "output", "text", { "text", "json" }, "Form of output")),
    Number(Flag::kTimeout,
           "timeout-ms",
           "5000",
           1,
           kMaxTimeoutMs,
           "Time limit of a call in milliseconds"),
    Required(WithVariable(Text(Flag::kOperator,
                               "operator",
                               1,
                               kMaxNameBytes,
                               "Who makes the change, for the audit trail"))),
    Number(Flag::kExpected,
           "expected",
           std::nullopt,
           0,
           INT64_MAX,
           "What the change replaces: the newest bundle version, or the offset "
           "of the domain's last change; read before the change when absent"),
    Required(
      Text(Flag::kDigest, "digest", 1, kMaxShortBytes, "Digest that was read")),
    Text(Flag::kReason, "reason", 0, kMaxShortBytes, "Why, for the audit"),
    Text(Flag::kName,
         "name",
         1,
         kMaxNameBytes,
         "Name of the job; repeating a submission with it is safe"),
    { Flag::kHome,
      { "home",
        K::kName,
        std::nullopt,
        0,
        0,
        "Failure domain to keep to",
        {} } },
    Number(Flag::kParts, "parts", "1", 1, kMaxParts, "Number of equal tasks"),
    Choice(Flag::kKind, "kind", "batch", NamesOf(kTaskKindNames), "Kind"),
    Choice(Flag::kPriority,
           "priority",
           "normal",
           NamesOf(kPriorityNames),
           "Order among waiting tasks"),
    Text(Flag::kTeam, "team", 1, kMaxShortBytes, "Team whose quota counts"),
    Text(Flag::kClass, "class", 1, kMaxShortBytes, "Class of the tasks"),
    Number(Flag::kCpuMillis,
           "cpu-millis",
           "1000",
           0,
           kMaxAmount,
           "Processors of a task in thousandths"),
    Number(Flag::kMemoryMb,
           "memory-mb",
           "512",
           0,
           kMaxAmount,
           "Memory of a task in MiB"),
    Number(Flag::kAccelerators,
           "accelerators",
           "0",
           0,
           kMaxAmount,
           "Accelerators of a task"),
    Text(Flag::kPayload,
         "payload",
         0,
         kMaxPayloadBytes,
         "JSON object handed to the worker as it is"),
    Choice(Flag::kRequestKind,
           "kind",
           "idempotent",
           NamesOf(kRequestKindNames),
           "Whether the request may be repeated"),
    Text(Flag::kKey,
         "key",
         1,
         kMaxShortBytes,
         "Idempotency key, required for a non-idempotent request"),
    Choice(Flag::kFirstAsk,
           "first-ask",
           "false",
           { "false", "true" },
           "Whether you vouch that the key was never asked with before"),
    Text(Flag::kBody, "body", 0, kMaxBodyBytes, "Body of the request"),
    Number(Flag::kDeadline,
           "deadline-ms",
           std::nullopt,
           1,
           kMaxTimeoutMs,
           "Time limit of the request in milliseconds"),
    Number(
      Flag::kLimit, "limit", "100", 1, kMaxRows, "Greatest number of rows"),
  };
}

std::string Usage(const CommandSpec& aCommand)
{
  std::string text(kCommandNames.Name(aCommand.mCommand));
  for (const auto operand : aCommand.mOperands) {
    text += " " + std::string(operand);
  }
  return text;
}

std::string Padded(std::string aText, size_t aWidth)
{
  aText.resize(std::max(aText.size() + 1, aWidth), ' ');
  return aText;
}

std::string FlagHelp(const FlagSpec& aFlag)
{
  const SettingSpec& spec = aFlag.mSpec;
  std::string text = "  --" + std::string(spec.mName) + "=";
  text += kSettingValueKindNames.Name(spec.mKind);
  text += "\n      " + std::string(spec.mHelp) + ".\n      Allowed: ";
  text += AllowedValues(spec) + ".";
  if (spec.mDefault) {
    text += " Default: '" + std::string(*spec.mDefault) + "'.";
  }
  text += aFlag.mRequired ? " Required." : "";
  if (aFlag.mAllowsVariable) {
    text += " Variable: " + VariableName(kCtlVariablePrefix, spec.mName) + ".";
  }
  return text + "\n";
}

} // namespace

const std::vector<CommandSpec>& Commands()
{
  using C = Command;
  using F = Flag;
  static const std::vector<F> kSubmission{
    F::kName,     F::kHome,         F::kParts,   F::kKind,
    F::kPriority, F::kTeam,         F::kClass,   F::kCpuMillis,
    F::kMemoryMb, F::kAccelerators, F::kPayload,
  };
  static const std::vector<F> kChange{ F::kOperator, F::kExpected, F::kReason };
  static const std::vector<CommandSpec> kCommands{
    { C::kBundleCheck,
      { "FILE" },
      {},
      "Checks a bundle without an instance and reports every fault" },
    { C::kBundlePublish,
      { "FILE" },
      { F::kOperator, F::kExpected },
      "Proposes a bundle and prints its digest; it is not in force yet" },
    { C::kBundleSignOff,
      { "VERSION" },
      { F::kOperator, F::kDigest },
      "Puts the published bundle with this digest in force everywhere" },
    { C::kBundleShow,
      { "VERSION" },
      {},
      "Prints a published bundle; version 0 is the one in force" },
    { C::kBundleDiff,
      { "VERSION", "VERSION" },
      {},
      "Prints what differs between two published bundles" },
    { C::kDomainOut, { "DOMAIN" }, kChange, "Takes a failure domain out" },
    { C::kDomainReturn, { "DOMAIN" }, kChange, "Returns a failure domain" },
    { C::kDomainList, {}, {}, "Lists the failure domains" },
    { C::kJobSubmit, {}, kSubmission, "Submits a batch job or watchers" },
    { C::kJobCancel, { "JOB" }, { F::kOperator }, "Asks for a job's end" },
    { C::kJobStatus, { "JOB" }, {}, "Prints the state of a job's tasks" },
    { C::kJobExplain,
      { "JOB" },
      {},
      "Says why a job's tasks wait, where they ran and why they moved" },
    { C::kJobList, {}, {}, "Lists the jobs" },
    { C::kRequest,
      {},
      { F::kRequestKind, F::kKey, F::kFirstAsk, F::kBody, F::kDeadline },
      "Sends one request as a caller does" },
    { C::kStatus, {}, {}, "Prints the state of the instance that answers" },
    { C::kWorkers, {}, {}, "Lists the workers" },
    { C::kAudit, {}, { F::kLimit }, "Prints the trail of changes" },
  };
  return kCommands;
}

const CommandSpec& CommandSpecOf(Command aCommand)
{
  for (const CommandSpec& row : Commands()) {
    if (row.mCommand == aCommand) {
      return row;
    }
  }
  return Commands().front();
}

const FlagSpec& FlagSpecOf(Flag aFlag)
{
  static const std::vector<FlagSpec> kFlags = MakeFlags();
  for (const FlagSpec& row : kFlags) {
    if (row.mFlag == aFlag) {
      return row;
    }
  }
  return kFlags.front();
}

std::string OverviewHelp()
{
  constexpr size_t kUsageColumn = 34;
  std::string text = "Usage: mulberryvalvectl COMMAND [OPERAND...] "
                     "[--FLAG=VALUE...]\n\nCommands:\n";
  for (const CommandSpec& command : Commands()) {
    text += "  " + Padded(Usage(command), kUsageColumn) +
            std::string(command.mHelp) + "\n";
  }
  text += "\nmulberryvalvectl COMMAND --help describes a command's flags.\n"
          "\nExit codes:\n";
  for (const auto& row : kExitCodeNames.mRows) {
    text += "  " + std::to_string(static_cast<int>(row.mValue)) + "  " +
            std::string(row.mName) + "\n";
  }
  return text;
}

std::string CommandHelp(const CommandSpec& aCommand)
{
  std::string text = "Usage: mulberryvalvectl " + Usage(aCommand) +
                     " [--FLAG=VALUE...]\n\n" + std::string(aCommand.mHelp) +
                     ".\n\n";
  text += "  " + Padded("--help", kNameColumn) + "Print this text and stop.\n";
  for (const Flag flag : aCommand.mFlags) {
    text += FlagHelp(FlagSpecOf(flag));
  }
  for (const Flag flag : { Flag::kEndpoint, Flag::kOutput, Flag::kTimeout }) {
    text += FlagHelp(FlagSpecOf(flag));
  }
  return text;
}

} // namespace mulberryvalve
