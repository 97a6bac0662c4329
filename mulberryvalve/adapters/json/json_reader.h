// JsonReader: reads the fields of a JSON object and reports typed errors.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JSON_READER_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JSON_READER_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/failure.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryvalve {

inline constexpr size_t kMaxJsonDepth = 24;
inline constexpr size_t kMaxShortText = 256;

// ParseJson parses aText of at most aMaxBytes into an object. Errors:
// kTooLarge, kMalformed (syntax, nesting beyond kMaxJsonDepth, invalid UTF-8,
// or not an object).
Result<nlohmann::json> ParseJson(std::string_view aText, size_t aMaxBytes);

// ParseJsonWithUniqueNames is ParseJson that also rejects duplicate names in an
// object with kMalformed.
Result<nlohmann::json> ParseJsonWithUniqueNames(std::string_view aText,
                                                size_t aMaxBytes);

// JsonReader reads fields of an object. The first fault is kept and makes
// every later read return its default; check Fault() at the end. Not
// thread-safe; the object must outlive the reader.
//
//   JsonReader reader(object);
//   const auto task = TaskId(reader.Text("task"));
//   if (reader.Fault()) { return *reader.Fault(); }
class JsonReader
{
public:
  explicit JsonReader(const nlohmann::json& aObject)
    : mObject(aObject)
  {
  }

  // Text returns a required string of at most aMax bytes.
  std::string Text(const char* aName, size_t aMax = kMaxShortText);

  // TextOr returns a string, or aDefault when the field is absent.
  std::string TextOr(const char* aName,
                     const std::string& aDefault,
                     size_t aMax = kMaxShortText);

  // Number returns a required integer in [aLow, aHigh].
  int64_t Number(const char* aName,
                 int64_t aLow = 0,
                 int64_t aHigh = INT64_MAX);

  // NumberOr returns an integer in the range, or aDefault when absent.
  int64_t NumberOr(const char* aName,
                   int64_t aDefault,
                   int64_t aLow = 0,
                   int64_t aHigh = INT64_MAX);

  // DecimalOr returns a number in [0, aMax] that may have a fraction, or
  // aDefault when the field is absent or no number.
  double DecimalOr(const char* aName, double aDefault, double aMax);

  // FlagOr returns a boolean, or aDefault when absent.
  bool FlagOr(const char* aName, bool aDefault);

  // Enum returns a required enumerator by its name in aTable.
  template<typename E, size_t N>
  E Enum(const char* aName, const EnumTable<E, N>& aTable)
  {
    const std::string text = Text(aName);
    const std::optional<E> value = aTable.Find(text);
    if (!value) {
      SetFault(FailureKind::kInvalidInput,
               aName,
               "\"" + text + "\" is not one of " + aTable.JoinedNames());
      return aTable.mRows[0].mValue;
    }
    return *value;
  }

  // EnumOr returns an enumerator, or aDefault when the field is absent.
  template<typename E, size_t N>
  E EnumOr(const char* aName, const EnumTable<E, N>& aTable, E aDefault)
  {
    return mObject.contains(aName) ? Enum(aName, aTable) : aDefault;
  }

  // Array returns a required array of at most aMax items.
  const nlohmann::json& Array(const char* aName, size_t aMax);

  // Object returns a required object.
  const nlohmann::json& Object(const char* aName);

  // Has returns whether the field is present.
  bool Has(const char* aName) const { return mObject.contains(aName); }

  // RecordFault records aFault, found in a nested object, if it is the first
  // fault.
  void RecordFault(const Failure& aFault)
  {
    if (!mFault) {
      mFault = aFault;
    }
  }

  // Fault returns the first fault, if any.
  const std::optional<Failure>& Fault() const { return mFault; }

private:
  const nlohmann::json* Find(const char* aName);
  void SetFault(FailureKind aKind, const char* aName, std::string aDetail);

  const nlohmann::json& mObject;
  std::optional<Failure> mFault;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JSON_READER_H_
