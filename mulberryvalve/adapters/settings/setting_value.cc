#include "mulberryvalve/adapters/settings/setting_value.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxNameBytes = 40;

bool IsValidName(std::string_view aText)
{
  constexpr std::string_view kNameBytes =
    "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         aText.find_first_not_of(kNameBytes) == std::string_view::npos;
}

bool IsControlCharacter(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < ' ' || byte == 0x7f;
}

std::vector<std::string_view> SplitList(std::string_view aText)
{
  std::vector<std::string_view> parts;
  if (aText.empty()) {
    return parts;
  }
  size_t start = 0;
  for (size_t comma = aText.find(','); comma != std::string_view::npos;
       comma = aText.find(',', start)) {
    parts.push_back(aText.substr(start, comma - start));
    start = comma + 1;
  }
  parts.push_back(aText.substr(start));
  return parts;
}

// CanonicalAddress returns the IP address aAddress in its shortest notation. It
// fails if aAddress is not an address of aFamily or is the unspecified address.
SettingResult<std::string> CanonicalAddress(int aFamily,
                                            const std::string& aAddress)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(aFamily, aAddress.c_str(), bytes.data()) != 1) {
    return SettingFaultKind::kNotAnIpNumber;
  }
  if (std::all_of(
        bytes.begin(), bytes.end(), [](auto aByte) { return aByte == 0; })) {
    return SettingFaultKind::kNotAllowed;
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  inet_ntop(aFamily, bytes.data(), text.data(), text.size());
  return std::string(text.data());
}

std::optional<uint16_t> ParsePort(std::string_view aText)
{
  uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

SettingResult<Endpoint> ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  std::string_view address = aText.substr(0, colon);
  int family = AF_INET;
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
    family = AF_INET6;
  }
  const auto canonical = CanonicalAddress(family, std::string(address));
  if (!canonical) {
    return canonical.error();
  }
  const auto port = colon == std::string_view::npos
                      ? std::nullopt
                      : ParsePort(aText.substr(colon + 1));
  if (!port) {
    return SettingFaultKind::kBadPort;
  }
  return Endpoint{ canonical.value(), *port };
}

SettingResult<SettingValue> ParseNumber(const SettingSpec& aSpec,
                                        std::string_view aText)
{
  SettingValue value;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value.mNumber);
  if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == end) {
    return SettingFaultKind::kOutOfRange;
  }
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return SettingFaultKind::kNotANumber;
  }
  if (value.mNumber < aSpec.mMin || value.mNumber > aSpec.mMax) {
    return SettingFaultKind::kOutOfRange;
  }
  return value;
}

bool IsLengthInRange(const SettingSpec& aSpec, size_t aLength)
{
  const auto length = static_cast<int64_t>(aLength);
  return length >= aSpec.mMin && length <= aSpec.mMax;
}

SettingResult<SettingValue> ParseNames(const SettingSpec& aSpec,
                                       std::string_view aText)
{
  SettingValue value;
  for (const auto part : SplitList(aText)) {
    if (!IsValidName(part)) {
      return SettingFaultKind::kBadName;
    }
    const auto& seen = value.mTexts;
    if (std::find(seen.begin(), seen.end(), part) != seen.end()) {
      return SettingFaultKind::kDuplicate;
    }
    value.mTexts.emplace_back(part);
  }
  if (!IsLengthInRange(aSpec, value.mTexts.size())) {
    return SettingFaultKind::kOutOfRange;
  }
  return value;
}

SettingResult<SettingValue> ParseEndpoints(const SettingSpec& aSpec,
                                           std::string_view aText)
{
  SettingValue value;
  for (const auto part : SplitList(aText)) {
    const auto endpoint = ParseEndpoint(part);
    if (!endpoint) {
      return endpoint.error();
    }
    for (const auto& seen : value.mEndpoints) {
      if (SameEndpoint(seen, endpoint.value())) {
        return SettingFaultKind::kDuplicate;
      }
    }
    value.mEndpoints.push_back(endpoint.value());
  }
  if (!IsLengthInRange(aSpec, value.mEndpoints.size())) {
    return SettingFaultKind::kOutOfRange;
  }
  return value;
}

SettingResult<SettingValue> ParseText(const SettingSpec& aSpec,
                                      std::string_view aText)
{
  if (!IsLengthInRange(aSpec, aText.size())) {
    return SettingFaultKind::kOutOfRange;
  }
  if (std::any_of(aText.begin(), aText.end(), IsControlCharacter)) {
    return SettingFaultKind::kNotAllowed;
  }
  return SettingValue{ 0, { std::string(aText) }, {} };
}

SettingResult<SettingValue> ParseName(std::string_view aText)
{
  if (!IsValidName(aText)) {
    return SettingFaultKind::kBadName;
  }
  return SettingValue{ 0, { std::string(aText) }, {} };
}

SettingResult<SettingValue> ParseChoice(const SettingSpec& aSpec,
                                        std::string_view aText)
{
  const auto& choices = aSpec.mChoices;
  if (std::find(choices.begin(), choices.end(), aText) == choices.end()) {
    return SettingFaultKind::kNotAllowed;
  }
  return SettingValue{ 0, { std::string(aText) }, {} };
}

SettingResult<SettingValue> ParseEndpointValue(std::string_view aText)
{
  const auto endpoint = ParseEndpoint(aText);
  if (!endpoint) {
    return endpoint.error();
  }
  return SettingValue{ 0, {}, { endpoint.value() } };
}

std::string FormatRange(const SettingSpec& aSpec)
{
  return std::to_string(aSpec.mMin) + " to " + std::to_string(aSpec.mMax);
}

std::string JoinChoices(const SettingSpec& aSpec)
{
  std::string all;
  for (const auto choice : aSpec.mChoices) {
    all += all.empty() ? "" : ", ";
    all += choice;
  }
  return all;
}

} // namespace

SettingResult<SettingValue> ParseSettingValue(const SettingSpec& aSpec,
                                              std::string_view aText)
{
  switch (aSpec.mKind) {
    case SettingValueKind::kNumber:
    case SettingValueKind::kMilliseconds:
      return ParseNumber(aSpec, aText);
    case SettingValueKind::kName:
      return ParseName(aText);
    case SettingValueKind::kNameList:
      return ParseNames(aSpec, aText);
    case SettingValueKind::kEndpoint:
      return ParseEndpointValue(aText);
    case SettingValueKind::kEndpointList:
      return ParseEndpoints(aSpec, aText);
    case SettingValueKind::kChoice:
      return ParseChoice(aSpec, aText);
    case SettingValueKind::kText:
      break;
  }
  return ParseText(aSpec, aText);
}

std::string AllowedValues(const SettingSpec& aSpec)
{
  switch (aSpec.mKind) {
    case SettingValueKind::kNumber:
      return FormatRange(aSpec);
    case SettingValueKind::kMilliseconds:
      return FormatRange(aSpec) + " ms";
    case SettingValueKind::kName:
      return "1 to 40 of a-z, 0-9 and -";
    case SettingValueKind::kNameList:
      return FormatRange(aSpec) +
             " different names, each 1 to 40 of a-z, 0-9 and -";
    case SettingValueKind::kEndpoint:
      return "IPv4:PORT or [IPv6]:PORT, port 1 to 65535";
    case SettingValueKind::kEndpointList:
      return FormatRange(aSpec) + " different IPv4:PORT or [IPv6]:PORT";
    case SettingValueKind::kChoice:
      return JoinChoices(aSpec);
    case SettingValueKind::kText:
      break;
  }
  return FormatRange(aSpec) + " bytes without control characters";
}

std::string PrintEndpoint(const Endpoint& aEndpoint)
{
  const bool isIpv6 = aEndpoint.mAddress.find(':') != std::string::npos;
  const std::string address =
    isIpv6 ? "[" + aEndpoint.mAddress + "]" : aEndpoint.mAddress;
  return address + ":" + std::to_string(aEndpoint.mPort);
}

std::string PrintEndpoints(const std::vector<Endpoint>& aEndpoints)
{
  std::string all;
  for (const auto& endpoint : aEndpoints) {
    all += (all.empty() ? "" : ",") + PrintEndpoint(endpoint);
  }
  return all;
}

bool SameEndpoint(const Endpoint& aLeft, const Endpoint& aRight)
{
  return aLeft.mPort == aRight.mPort && aLeft.mAddress == aRight.mAddress;
}

} // namespace mulberryvalve
