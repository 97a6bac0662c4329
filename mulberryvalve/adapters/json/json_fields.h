// Helpers that write JSON fields and omit default values.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JSON_FIELDS_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace mulberryvalve {

// PutFlag, PutNumber and PutText set aName unless aValue is false, zero or
// empty.
inline void PutFlag(nlohmann::json& aObject, const char* aName, bool aValue)
{
  if (aValue) {
    aObject[aName] = true;
  }
}

inline void PutNumber(nlohmann::json& aObject,
                      const char* aName,
                      int64_t aValue)
{
  if (aValue != 0) {
    aObject[aName] = aValue;
  }
}

inline void PutText(nlohmann::json& aObject,
                    const char* aName,
                    const std::string& aValue)
{
  if (!aValue.empty()) {
    aObject[aName] = aValue;
  }
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JSON_FIELDS_H_
