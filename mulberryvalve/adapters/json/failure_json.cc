#include "mulberryvalve/adapters/json/failure_json.h"

#include <nlohmann/json.hpp>

namespace mulberryvalve {

nlohmann::json FailureToJson(const Failure& aFailure)
{
  return nlohmann::json{ { "error", kFailureKindNames.Name(aFailure.mKind) },
                         { "field", aFailure.mField },
                         { "detail", aFailure.mDetail } };
}

} // namespace mulberryvalve
