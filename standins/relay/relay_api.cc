#include "standins/relay/relay_api.h"

#include "standins/fault_switches/fault_switches_json.h"
#include "standins/http/json_response.h"

namespace mulberryvalve::standins {

RelayApi::RelayApi(RelayFaults& aFaults, Relay& aRelay)
  : mFaults(aFaults)
  , mRelay(aRelay)
{
}

HttpResponse RelayApi::Handle(const HttpRequest& aRequest)
{
  if (aRequest.mPath != "/v1/faults") {
    return NotFound();
  }
  if (aRequest.mMethod == HttpMethod::kPost) {
    const auto object = ParseObject(aRequest.mBody);
    const auto changes =
      object ? ReadChanges(kRelayFaults, *object) : std::nullopt;
    if (!changes) {
      return BadRequest();
    }
    Apply(*changes, mFaults);
    mRelay.ApplyFaults();
  }
  return JsonResponse(ToJson(mFaults));
}

} // namespace mulberryvalve::standins
