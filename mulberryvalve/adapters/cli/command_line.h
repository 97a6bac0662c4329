// CommandLine: the parsed and validated command line of mulberryvalvectl.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_COMMAND_LINE_H_
#define MULBERRYVALVE_ADAPTERS_CLI_COMMAND_LINE_H_

#include "mulberryvalve/adapters/cli/command_spec.h"
#include "mulberryvalve/core/base/result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

enum class OutputFormat
{
  kText,
  kJson,
};

inline constexpr EnumTable<OutputFormat, 2> kOutputFormatNames{ { {
  { OutputFormat::kText, "text" },
  { OutputFormat::kJson, "json" },
} } };

// CommandLine is immutable once parsed and therefore thread-safe. Without
// mCommand it asks for the overview help.
struct CommandLine
{
  std::optional<Command> mCommand;
  bool mHelp = false;
  std::vector<std::string> mOperands;
  std::map<Flag, SettingValue> mValues;

  // Has returns whether aFlag was given or has a default.
  bool Has(Flag aFlag) const { return mValues.count(aFlag) != 0; }

  // Text returns the text of aFlag, or an empty string if it has none.
  std::string Text(Flag aFlag) const;

  // Number returns the number of aFlag, or zero if it has none.
  int64_t Number(Flag aFlag) const;

  // Endpoints returns the endpoints of the instances to try, in order.
  std::vector<Endpoint> Endpoints() const;

  // Output returns the requested output format.
  OutputFormat Output() const;
};

// CommandLineOutcome holds a command line or all faults found.
using CommandLineOutcome = BasicResult<CommandLine, std::vector<SettingFault>>;

// ReadCommandLine reads aArgv (aArgc entries, the program name first) with
// popt, and from aEnvironment (entries NAME=VALUE) the variables of flags that
// allow them. Flags may appear before, between and after the command's words.
// Thread-safe.
CommandLineOutcome ReadCommandLine(
  int aArgc,
  const char* const* aArgv,
  const std::vector<std::string>& aEnvironment);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_COMMAND_LINE_H_
