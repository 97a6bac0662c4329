#include "mulberryvalve/adapters/log4cplus_log/event_line.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace mulberryvalve {
namespace {

constexpr int64_t kMillisecondsPerSecond = 1000;
constexpr size_t kMaxEventNameBytes = 64;
constexpr std::string_view kTruncatedLineSuffix = " truncated=true";
constexpr std::string_view kTruncatedValueSuffix = "...";

std::string FormatTime(WallTime aTime)
{
  int64_t millis = aTime.mMilliseconds % kMillisecondsPerSecond;
  std::time_t seconds = aTime.mMilliseconds / kMillisecondsPerSecond;
  if (millis < 0) {
    millis += kMillisecondsPerSecond;
    seconds--;
  }
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 8> fraction{};
  std::snprintf(
    fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(millis));
  return std::string(date.data()) + fraction.data();
}

bool IsNameByte(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') || aByte == '_' || aByte == '.' ||
         aByte == '-';
}

std::string SanitizeName(std::string_view aName)
{
  std::string name(aName.substr(0, kMaxEventNameBytes));
  std::replace_if(
    name.begin(),
    name.end(),
    [](char aByte) { return !IsNameByte(aByte); },
    '_');
  return name;
}

bool IsUnquotedByte(char aByte)
{
  return aByte > ' ' && aByte <= '~' && aByte != '"' && aByte != '\\' &&
         aByte != '=';
}

void AppendEscaped(std::string& aText, char aByte)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(aByte);
  if (aByte == '"' || aByte == '\\') {
    aText += '\\';
    aText += aByte;
  } else if (aByte == '\n') {
    aText += "\\n";
  } else if (aByte >= ' ' && aByte <= '~') {
    aText += aByte;
  } else {
    aText += "\\x";
    aText += kHex[byte >> 4U];
    aText += kHex[byte & 0xfU];
  }
}

std::string FormatValue(const std::string& aValue)
{
  std::string value = aValue.substr(0, kMaxEventValueBytes);
  if (value.size() < aValue.size()) {
    value += kTruncatedValueSuffix;
  }
  if (!value.empty() &&
      std::all_of(value.begin(), value.end(), IsUnquotedByte)) {
    return value;
  }
  std::string quoted = "\"";
  for (const char byte : value) {
    AppendEscaped(quoted, byte);
  }
  quoted += '"';
  return quoted;
}

} // namespace

std::string FormatEventLine(WallTime aTime,
                            EventLevel aLevel,
                            std::string_view aName,
                            const std::vector<EventField>& aFields)
{
  std::string line = FormatTime(aTime) + " ";
  line += kEventLevelNames.Name(aLevel);
  line += " event=" + SanitizeName(aName);
  for (const auto& field : aFields) {
    const std::string text =
      " " + SanitizeName(field.mKey) + "=" + FormatValue(field.mValue);
    if (line.size() + text.size() + kTruncatedLineSuffix.size() >
        kMaxEventLineBytes) {
      line += kTruncatedLineSuffix;
      break;
    }
    line += text;
  }
  return line;
}

} // namespace mulberryvalve
