// CommandSpec: the commands of mulberryvalvectl and the flags of each.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_COMMAND_SPEC_H_
#define MULBERRYVALVE_ADAPTERS_CLI_COMMAND_SPEC_H_

#include "mulberryvalve/adapters/settings/setting_value.h"

#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

enum class Command
{
  kBundleCheck,
  kBundlePublish,
  kBundleSignOff,
  kBundleShow,
  kBundleDiff,
  kDomainOut,
  kDomainReturn,
  kDomainList,
  kJobSubmit,
  kJobCancel,
  kJobStatus,
  kJobExplain,
  kJobList,
  kRequest,
  kStatus,
  kWorkers,
  kAudit,
};

// The name of a command is the words that invoke it.
inline constexpr EnumTable<Command, 17> kCommandNames{ { {
  { Command::kBundleCheck, "bundle check" },
  { Command::kBundlePublish, "bundle publish" },
  { Command::kBundleSignOff, "bundle sign-off" },
  { Command::kBundleShow, "bundle show" },
  { Command::kBundleDiff, "bundle diff" },
  { Command::kDomainOut, "domain out" },
  { Command::kDomainReturn, "domain return" },
  { Command::kDomainList, "domain list" },
  { Command::kJobSubmit, "job submit" },
  { Command::kJobCancel, "job cancel" },
  { Command::kJobStatus, "job status" },
  { Command::kJobExplain, "job explain" },
  { Command::kJobList, "job list" },
  { Command::kRequest, "request" },
  { Command::kStatus, "status" },
  { Command::kWorkers, "workers" },
  { Command::kAudit, "audit" },
} } };

enum class Flag
{
  kEndpoint,
  kOutput,
  kTimeout,
  kOperator,
  kExpected,
  kDigest,
  kReason,
  kName,
  kHome,
  kParts,
  kKind,
  kPriority,
  kTeam,
  kClass,
  kCpuMillis,
  kMemoryMb,
  kAccelerators,
  kPayload,
  kRequestKind,
  kKey,
  kFirstAsk,
  kBody,
  kDeadline,
  kLimit,
};

// FlagSpec describes one flag. mAllowsVariable tells whether an environment
// variable may set it, mRequired whether commands with this flag require it.
struct FlagSpec
{
  Flag mFlag;
  SettingSpec mSpec;
  bool mAllowsVariable = false;
  bool mRequired = false;
};

// CommandSpec describes one command. mOperands are the names of the operands
// after the command's words, all required.
struct CommandSpec
{
  Command mCommand;
  std::vector<std::string_view> mOperands;
  std::vector<Flag> mFlags;
  std::string_view mHelp;
};

// kCtlVariablePrefix is the prefix of all environment variable names.
inline constexpr std::string_view kCtlVariablePrefix = "MULBERRYVALVE_";

// Commands returns all commands, in the order of the help text. Thread-safe.
const std::vector<CommandSpec>& Commands();

// CommandSpecOf returns the spec of aCommand. Thread-safe.
const CommandSpec& CommandSpecOf(Command aCommand);

// FlagSpecOf returns the spec of aFlag. Thread-safe.
const FlagSpec& FlagSpecOf(Flag aFlag);

// OverviewHelp returns help that lists commands and exit codes. Thread-safe.
std::string OverviewHelp();

// CommandHelp returns the help of one command and its flags. Thread-safe.
std::string CommandHelp(const CommandSpec& aCommand);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_COMMAND_SPEC_H_
