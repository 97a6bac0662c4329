// ClientAccount: who calls, what their jobs may use at the same time, and their
// share when there is not room for all.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_CLIENT_ACCOUNT_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_CLIENT_ACCOUNT_H_

#include "mulberryvalve/core/base/strong_id.h"
#include "mulberryvalve/core/model/resources.h"

namespace mulberryvalve {

using ClientAccountId = StrongId<struct ClientAccountIdTag>;

// ClientAccount is a value type; not synchronised.
struct ClientAccount
{
  ClientAccountId mId;
  // The jobs per second that the account may send, and its weight relative to
  // the other accounts when there is not room for all jobs.
  double mJobsPerSecond = 0;
  // What its tasks may use at the same time on all workers. Zero in a component
  // means no limit there.
  Resources mLimit;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_CLIENT_ACCOUNT_H_
