// HTTP routes for bundles, failure domains, workers, the audit log and the
// status of the instance.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_OPERATOR_ROUTES_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_OPERATOR_ROUTES_H_

#include "mulberryvalve/ports/in/operator_api.h"

#include <httplib.h>

namespace mulberryvalve {

// AddOperatorRoutes registers the routes at aServer; aOperators must outlive
// it.
void AddOperatorRoutes(httplib::Server& aServer, OperatorApi& aOperators);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_OPERATOR_ROUTES_H_
