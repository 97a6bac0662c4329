// BundleFault: a validation error in a bundle document.
#ifndef MULBERRYVALVE_CORE_BUNDLE_BUNDLE_FAULT_H_
#define MULBERRYVALVE_CORE_BUNDLE_BUNDLE_FAULT_H_

#include "mulberryvalve/core/base/enum_table.h"

#include <string>

namespace mulberryvalve {

enum class BundleFaultKind
{
  kMalformed,
  kTooLarge,
  kMissing,
  kUnknownField,
  kWrongType,
  kOutOfRange,
  kBadName,
  kNotAllowed,
};

inline constexpr EnumTable<BundleFaultKind, 8> kBundleFaultKindNames{ { {
  { BundleFaultKind::kMalformed, "malformed" },
  { BundleFaultKind::kTooLarge, "too_large" },
  { BundleFaultKind::kMissing, "missing" },
  { BundleFaultKind::kUnknownField, "unknown_field" },
  { BundleFaultKind::kWrongType, "wrong_type" },
  { BundleFaultKind::kOutOfRange, "out_of_range" },
  { BundleFaultKind::kBadName, "bad_name" },
  { BundleFaultKind::kNotAllowed, "not_allowed" },
} } };

// BundleFault is a validation error at mPath, such as "limits.max_attempts".
struct BundleFault
{
  BundleFaultKind mKind = BundleFaultKind::kMalformed;
  std::string mPath;
  std::string mValue;
  std::string mAllowed;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BUNDLE_BUNDLE_FAULT_H_
