#include "mulberryvalve/adapters/json/json_text.h"

#include <nlohmann/json.hpp>
#include <unordered_set>
#include <vector>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr int kNoIndent = -1;
constexpr char kIndentCharacter = ' ';
constexpr bool kAsciiOnly = false;
constexpr bool kThrow = false;

// DuplicateNameDetector is a parser callback that detects duplicate names in an
// object.
class DuplicateNameDetector
{
public:
  bool operator()(json::parse_event_t aEvent, const json& aParsed)
  {
    if (aEvent == json::parse_event_t::object_start) {
      mNamesOfOpenObjects.emplace_back();
    } else if (aEvent == json::parse_event_t::object_end) {
      mNamesOfOpenObjects.pop_back();
    } else if (aEvent == json::parse_event_t::key) {
      const auto& name = aParsed.get_ref<const std::string&>();
      mHasDuplicate =
        !mNamesOfOpenObjects.back().insert(name).second || mHasDuplicate;
    }
    return true;
  }

  bool HasDuplicate() const { return mHasDuplicate; }

private:
  std::vector<std::unordered_set<std::string>> mNamesOfOpenObjects;
  bool mHasDuplicate = false;
};

} // namespace

std::string WriteJsonText(const json& aValue)
{
  return aValue.dump(
    kNoIndent, kIndentCharacter, kAsciiOnly, json::error_handler_t::replace);
}

json ReadJsonText(std::string_view aText)
{
  return json::parse(aText, nullptr, kThrow);
}

json ReadJsonTextAndNames(std::string_view aText, bool& aHasDuplicateNames)
{
  DuplicateNameDetector names;
  const auto check = [&names](int, json::parse_event_t aEvent, json& aParsed) {
    return names(aEvent, aParsed);
  };
  json parsed = json::parse(aText, check, kThrow);
  aHasDuplicateNames = names.HasDuplicate();
  return parsed;
}

} // namespace mulberryvalve
