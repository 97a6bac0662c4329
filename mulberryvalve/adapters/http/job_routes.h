// HTTP routes to submit, list, show and cancel jobs.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_JOB_ROUTES_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_JOB_ROUTES_H_

#include "mulberryvalve/ports/in/job_api.h"

#include <httplib.h>

namespace mulberryvalve {

// AddJobRoutes registers the routes at aServer; aJobs must outlive it.
void AddJobRoutes(httplib::Server& aServer, JobApi& aJobs);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_JOB_ROUTES_H_
