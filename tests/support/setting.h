// SettingOr: numbers that whoever runs a test sets in its environment.
#ifndef MULBERRYVALVE_TESTS_SUPPORT_SETTING_H_
#define MULBERRYVALVE_TESTS_SUPPORT_SETTING_H_

#include <cstdint>
#include <cstdlib>

namespace mulberryvalve {

// Returns the number in the environment variable aName, or aOtherwise if it is
// not set.
inline uint64_t SettingOr(const char* aName, uint64_t aOtherwise)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aOtherwise : std::strtoull(text, nullptr, 10);
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_TESTS_SUPPORT_SETTING_H_
