#include "mulberryvalve/adapters/cli/ctl_command.h"
#include "mulberryvalve/adapters/cli/text_table.h"
#include "mulberryvalve/core/records/record.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr const char* kDomainsPath = "/v1/domains";

CtlResult<json> FetchDomain(ApiClient& aApi, const std::string& aDomain)
{
  const auto answer = FetchJson(aApi, kDomainsPath);
  if (!answer) {
    return answer.error();
  }
  for (const json& row : answer.value().value("domains", json::array())) {
    if (row.value("domain", "") == aDomain) {
      return row;
    }
  }
  return CtlFailure{ Fail(FailureKind::kNotFound, "DOMAIN", aDomain), {} };
}

// Takes a failure domain out of service or returns it.
class DomainChange : public CtlCommand
{
public:
  DomainChange(DomainState aState, CtlPorts aPorts)
    : mState(aState)
    , mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const std::string& domain = aLine.mOperands.at(0);
    const auto expected = ExpectedOffset(aLine, domain);
    if (!expected) {
      return expected.error();
    }
    const json change{ { "state", kDomainStateNames.Name(mState) },
                       { "expected", expected.value() },
                       { "operator", aLine.Text(Flag::kOperator) },
                       { "reason", aLine.Text(Flag::kReason) } };
    const auto response =
      PostJson(mPorts.mApi,
               kDomainsPath + ("/" + EncodePathSegment(domain)),
               change.dump(),
               {});
    if (!response) {
      return response.error();
    }
    return Report{ response.value(),
                   "failure domain " + domain + " is " +
                     std::string(kDomainStateNames.Name(mState)) +
                     " from offset " +
                     response.value().value("offset", json()).dump() + "\n" };
  }

private:
  CtlResult<int64_t> ExpectedOffset(const CommandLine& aLine,
                                    const std::string& aDomain) const
  {
    if (aLine.Has(Flag::kExpected)) {
      return aLine.Number(Flag::kExpected);
    }
    const auto row = FetchDomain(mPorts.mApi, aDomain);
    if (!row) {
      return row.error();
    }
    return row.value().value("offset", int64_t{ 0 });
  }

  const DomainState mState;
  CtlPorts mPorts;
};

class DomainList : public CtlCommand
{
public:
  explicit DomainList(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine&) const override
  {
    const auto answer = FetchJson(mPorts.mApi, kDomainsPath);
    if (!answer) {
      return answer.error();
    }
    TextTable table({ "DOMAIN", "STATE", "CHANGED AT", "BY", "WHY" });
    for (const json& row : answer.value().value("domains", json::array())) {
      const int64_t offset = row.value("offset", int64_t{ 0 });
      table.Add({ row.value("domain", ""),
                  row.value("state", ""),
                  offset == 0 ? "never" : "offset " + std::to_string(offset),
                  row.value("operator", ""),
                  row.value("reason", "") });
    }
    return Report{ answer.value(), table.Print() };
  }

private:
  CtlPorts mPorts;
};

} // namespace

std::unique_ptr<CtlCommand> MakeDomainCommand(Command aCommand, CtlPorts aPorts)
{
  switch (aCommand) {
    case Command::kDomainOut:
      return std::make_unique<DomainChange>(DomainState::kOut, aPorts);
    case Command::kDomainReturn:
      return std::make_unique<DomainChange>(DomainState::kIn, aPorts);
    case Command::kDomainList:
      return std::make_unique<DomainList>(aPorts);
    default:
      return nullptr;
  }
}

} // namespace mulberryvalve
