#include "mulberryvalve/adapters/json/json_reader.h"

#include "mulberryvalve/adapters/json/json_text.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

const json kEmptyArray = json::array();
const json kEmptyObject = json::object();

size_t NestingDepth(std::string_view aText)
{
  size_t depth = 0;
  size_t deepest = 0;
  bool inString = false;
  for (size_t at = 0; at < aText.size(); at++) {
    const char c = aText[at];
    if (inString) {
      at += (c == '\\') ? 1 : 0;
      inString = c != '"';
      continue;
    }
    inString = c == '"';
    if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    }
    if ((c == ']' || c == '}') && depth > 0) {
      depth--;
    }
  }
  return deepest;
}

std::optional<Failure> CheckSizeAndDepth(std::string_view aText,
                                         size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    return Fail(FailureKind::kTooLarge,
                "",
                "at most " + std::to_string(aMaxBytes) + " bytes");
  }
  if (NestingDepth(aText) > kMaxJsonDepth) {
    return Fail(FailureKind::kMalformed, "", "nested too deeply");
  }
  return std::nullopt;
}

Result<json> RequireObject(json aParsed)
{
  if (aParsed.is_discarded()) {
    return Fail(FailureKind::kMalformed, "", "not JSON");
  }
  if (!aParsed.is_object()) {
    return Fail(FailureKind::kMalformed, "", "not a JSON object");
  }
  return aParsed;
}

} // namespace

Result<json> ParseJson(std::string_view aText, size_t aMaxBytes)
{
  if (const auto fault = CheckSizeAndDepth(aText, aMaxBytes)) {
    return *fault;
  }
  return RequireObject(ReadJsonText(aText));
}

Result<json> ParseJsonWithUniqueNames(std::string_view aText, size_t aMaxBytes)
{
  if (const auto fault = CheckSizeAndDepth(aText, aMaxBytes)) {
    return *fault;
  }
  bool hasDuplicateNames = false;
  json parsed = ReadJsonTextAndNames(aText, hasDuplicateNames);
  if (hasDuplicateNames) {
    return Fail(FailureKind::kMalformed, "", "a name stands twice");
  }
  return RequireObject(std::move(parsed));
}

const json* JsonReader::Find(const char* aName)
{
  const auto found = mObject.find(aName);
  if (found == mObject.end()) {
    SetFault(FailureKind::kInvalidInput, aName, "is missing");
    return nullptr;
  }
  return &*found;
}

void JsonReader::SetFault(FailureKind aKind,
                          const char* aName,
                          std::string aDetail)
{
  if (!mFault) {
    mFault = Fail(aKind, aName, std::move(aDetail));
  }
}

std::string JsonReader::Text(const char* aName, size_t aMax)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    SetFault(FailureKind::kInvalidInput, aName, "must be a text");
    return "";
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > aMax) {
    SetFault(FailureKind::kTooLarge,
             aName,
             "at most " + std::to_string(aMax) + " bytes");
    return "";
  }
  return text;
}

std::string JsonReader::TextOr(const char* aName,
                               const std::string& aDefault,
                               size_t aMax)
{
  return Has(aName) ? Text(aName, aMax) : aDefault;
}

int64_t JsonReader::Number(const char* aName, int64_t aLow, int64_t aHigh)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return aLow;
  }
  const bool fits =
    value->is_number_integer() &&
    !(value->is_number_unsigned() &&
      value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
  const int64_t number = fits ? value->get<int64_t>() : 0;
  if (!fits || number < aLow || number > aHigh) {
    SetFault(FailureKind::kInvalidInput,
             aName,
             "must be a whole number from " + std::to_string(aLow) + " to " +
               std::to_string(aHigh));
    return aLow;
  }
  return number;
}

int64_t JsonReader::NumberOr(const char* aName,
                             int64_t aDefault,
                             int64_t aLow,
                             int64_t aHigh)
{
  return Has(aName) ? Number(aName, aLow, aHigh) : aDefault;
}

double JsonReader::DecimalOr(const char* aName, double aDefault, double aMax)
{
  const auto found = mObject.find(aName);
  if (found == mObject.end() || !found->is_number()) {
    return aDefault;
  }
  const auto number = found->get<double>();
  if (!(number >= 0 && number <= aMax)) {
    SetFault(FailureKind::kInvalidInput, aName, "is out of range");
    return aDefault;
  }
  return number;
}

bool JsonReader::FlagOr(const char* aName, bool aDefault)
{
  if (!Has(aName)) {
    return aDefault;
  }
  const json* value = Find(aName);
  if (!value->is_boolean()) {
    SetFault(FailureKind::kInvalidInput, aName, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

const json& JsonReader::Array(const char* aName, size_t aMax)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return kEmptyArray;
  }
  if (!value->is_array() || value->size() > aMax) {
    SetFault(FailureKind::kInvalidInput,
             aName,
             "must be a list of at most " + std::to_string(aMax) + " items");
    return kEmptyArray;
  }
  return *value;
}

const json& JsonReader::Object(const char* aName)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return kEmptyObject;
  }
  if (!value->is_object()) {
    SetFault(FailureKind::kInvalidInput, aName, "must be an object");
    return kEmptyObject;
  }
  return *value;
}

} // namespace mulberryvalve
