// DomainState: whether new work may be placed in a failure domain.
#ifndef MULBERRYVALVE_CORE_MODEL_DOMAIN_STATE_H_
#define MULBERRYVALVE_CORE_MODEL_DOMAIN_STATE_H_

#include "mulberryvalve/core/base/enum_table.h"

namespace mulberryvalve {

enum class DomainState
{
  kIn,
  kOut,
};

inline constexpr EnumTable<DomainState, 2> kDomainStateNames{ { {
  { DomainState::kIn, "in" },
  { DomainState::kOut, "out" },
} } };

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_DOMAIN_STATE_H_
