#include "mulberryvalve/adapters/json/text_validation.h"

#include "mulberryvalve/adapters/json/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mulberryvalve {
namespace {

constexpr unsigned char kDelete = 0x7f;

bool IsControl(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < kFirstPrintable || byte == kDelete;
}

bool IsUtf8(const std::string& aText)
{
  const std::string quoted = WriteJsonText(aText);
  return ReadJsonText(quoted).get_ref<const std::string&>() == aText;
}

} // namespace

std::optional<Failure> CheckPrintable(const char* aField,
                                      const std::string& aText,
                                      size_t aMaxBytes)
{
  const bool valid = aText.size() <= aMaxBytes &&
                     std::none_of(aText.begin(), aText.end(), IsControl) &&
                     IsUtf8(aText);
  if (valid) {
    return std::nullopt;
  }
  return Fail(FailureKind::kInvalidInput,
              aField,
              "at most " + std::to_string(aMaxBytes) +
                " bytes of UTF-8 without control characters");
}

} // namespace mulberryvalve
