#include "mulberryvalve/adapters/cli/ctl_command.h"
#include "mulberryvalve/core/bundle/bundle.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr const char* kEmptyBody = "{}";

CtlResult<std::string> ReadDocument(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return CtlFailure{ Fail(FailureKind::kInvalidInput,
                            "FILE",
                            "can not read \"" + aPath + "\""),
                       {} };
  }
  return text.str();
}

CtlFailure InvalidBundleFailure(std::vector<BundleFault> aFaults)
{
  return { Fail(FailureKind::kInvalidInput,
                "bundle",
                std::to_string(aFaults.size()) + " faults"),
           std::move(aFaults) };
}

std::string BundleSummary(const Bundle& aBundle)
{
  return "bundle \"" + aBundle.mName + "\" version " +
         std::to_string(aBundle.mVersion.Value()) + ", " +
         std::to_string(aBundle.mTeams.size()) + " teams";
}

CtlResult<uint64_t> ReadVersion(const std::string& aText)
{
  const SettingSpec spec{
    "VERSION", SettingValueKind::kNumber, std::nullopt, 0, INT64_MAX, "", {}
  };
  const auto value = ParseSettingValue(spec, aText);
  if (!value) {
    return CtlFailure{ Fail(FailureKind::kInvalidInput,
                            "VERSION",
                            "\"" + aText +
                              "\", allowed: " + AllowedValues(spec)),
                       {} };
  }
  return static_cast<uint64_t>(value.value().mNumber);
}

CtlResult<json> FetchBundle(ApiClient& aApi, const std::string& aVersion)
{
  const auto version = ReadVersion(aVersion);
  if (!version) {
    return version.error();
  }
  return FetchJson(aApi, "/v1/bundles/" + std::to_string(version.value()));
}

class BundleCheck : public CtlCommand
{
public:
  explicit BundleCheck(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto document = ReadDocument(aLine.mOperands.at(0));
    if (!document) {
      return document.error();
    }
    CheckedBundle checked = mPorts.mBundles.Read(document.value());
    if (!checked.mFaults.empty()) {
      return InvalidBundleFailure(std::move(checked.mFaults));
    }
    const std::string digest = BundleDigest(document.value());
    return Report{ json{ { "good", true },
                         { "version", checked.mBundle.mVersion.Value() },
                         { "digest", digest } },
                   BundleSummary(checked.mBundle) + " is good\ndigest " +
                     digest + "\n" };
  }

private:
  CtlPorts mPorts;
};

class BundlePublish : public CtlCommand
{
public:
  explicit BundlePublish(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto document = ReadDocument(aLine.mOperands.at(0));
    if (!document) {
      return document.error();
    }
    const auto expected = ExpectedVersion(aLine);
    if (!expected) {
      return expected.error();
    }
    const auto response =
      PostJson(mPorts.mApi,
               "/v1/bundles",
               document.value(),
               { { "X-Operator", aLine.Text(Flag::kOperator) },
                 { "X-Expected-Version", std::to_string(expected.value()) } });
    if (!response) {
      return response.error();
    }
    const json& body = response.value();
    const std::string version = body.value("version", json()).dump();
    const std::string digest = body.value("digest", "");
    return Report{ body,
                   "published version " + version + ", digest " + digest +
                     "\nnot in force yet; to sign it off:\n"
                     "  mulberryvalvectl bundle sign-off " +
                     version + " --digest=" + digest + " --operator=NAME\n" };
  }

private:
  CtlResult<int64_t> ExpectedVersion(const CommandLine& aLine) const
  {
    if (aLine.Has(Flag::kExpected)) {
      return aLine.Number(Flag::kExpected);
    }
    const auto status = FetchJson(mPorts.mApi, "/v1/status");
    if (!status) {
      return status.error();
    }
    return status.value().value("newest_bundle", int64_t{ 0 });
  }

  CtlPorts mPorts;
};

class BundleSignOff : public CtlCommand
{
public:
  explicit BundleSignOff(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto version = ReadVersion(aLine.mOperands.at(0));
    if (!version) {
      return version.error();
    }
    const std::string number = std::to_string(version.value());
    const auto response =
      PostJson(mPorts.mApi,
               "/v1/bundles/" + number + "/sign-off",
               kEmptyBody,
               { { "X-Operator", aLine.Text(Flag::kOperator) },
                 { "X-Digest", aLine.Text(Flag::kDigest) } });
    if (!response) {
      return response.error();
    }
    return Report{ response.value(),
                   "version " + number + " is signed off at offset " +
                     response.value().value("offset", json()).dump() + "\n" };
  }

private:
  CtlPorts mPorts;
};

class BundleShow : public CtlCommand
{
public:
  explicit BundleShow(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto bundle = FetchBundle(mPorts.mApi, aLine.mOperands.at(0));
    if (!bundle) {
      return bundle.error();
    }
    const json& body = bundle.value();
    return Report{ body,
                   "version " + body.value("version", json()).dump() +
                     ", digest " + body.value("digest", "") + ", by " +
                     body.value("operator", "") + " at offset " +
                     body.value("offset", json()).dump() + "\n" +
                     body.value("document", "") + "\n" };
  }

private:
  CtlPorts mPorts;
};

// Formats each difference as PATH: BEFORE -> AFTER.
std::string DifferenceText(const json& aBefore, const json& aPatch)
{
  std::string text;
  for (const json& change : aPatch) {
    const std::string path = change.value("path", "");
    const json::json_pointer pointer(path);
    const std::string before =
      aBefore.contains(pointer) ? aBefore.at(pointer).dump() : "absent";
    const std::string after =
      change.contains("value") ? change.at("value").dump() : "absent";
    text += path;
    text += ": " + before;
    text += " -> " + after;
    text += "\n";
  }
  return text.empty() ? "no difference\n" : text;
}

class BundleDiff : public CtlCommand
{
public:
  explicit BundleDiff(CtlPorts aPorts)
    : mPorts(aPorts)
  {
  }

  CtlResult<Report> Run(const CommandLine& aLine) const override
  {
    const auto left = FetchBundle(mPorts.mApi, aLine.mOperands.at(0));
    if (!left) {
      return left.error();
    }
    const auto right = FetchBundle(mPorts.mApi, aLine.mOperands.at(1));
    if (!right) {
      return right.error();
    }
    const json before =
      json::parse(left.value().value("document", ""), nullptr, false);
    const json after =
      json::parse(right.value().value("document", ""), nullptr, false);
    const json patch = json::diff(before, after);
    return Report{ json{ { "changes", patch } },
                   DifferenceText(before, patch) };
  }

private:
  CtlPorts mPorts;
};

} // namespace

std::unique_ptr<CtlCommand> MakeBundleCommand(Command aCommand, CtlPorts aPorts)
{
  switch (aCommand) {
    case Command::kBundleCheck:
      return std::make_unique<BundleCheck>(aPorts);
    case Command::kBundlePublish:
      return std::make_unique<BundlePublish>(aPorts);
    case Command::kBundleSignOff:
      return std::make_unique<BundleSignOff>(aPorts);
    case Command::kBundleShow:
      return std::make_unique<BundleShow>(aPorts);
    case Command::kBundleDiff:
      return std::make_unique<BundleDiff>(aPorts);
    default:
      return nullptr;
  }
}

} // namespace mulberryvalve
