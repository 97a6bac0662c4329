// JSON values as text. The library's parser and serializer are large templates,
// so only json_text.cc instantiates them.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JSON_TEXT_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace mulberryvalve {

// WriteJsonText returns aValue as text without line breaks. It replaces invalid
// UTF-8, which may come from outside, by U+FFFD. Thread-safe.
std::string WriteJsonText(const nlohmann::json& aValue);

// ReadJsonText returns the value that aText holds, or a discarded value if
// aText is not JSON. Parses to any depth, so check that first. Thread-safe.
nlohmann::json ReadJsonText(std::string_view aText);

// ReadJsonTextAndNames is ReadJsonText that also sets aHasDuplicateNames to
// whether a name stands twice in an object. Thread-safe.
nlohmann::json ReadJsonTextAndNames(std::string_view aText,
                                    bool& aHasDuplicateNames);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JSON_TEXT_H_
