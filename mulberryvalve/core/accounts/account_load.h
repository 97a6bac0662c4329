// AccountLoad: what an owner reports of a client account.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_LOAD_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_LOAD_H_

#include "mulberryvalve/core/accounts/client_account.h"

#include <cstdint>

namespace mulberryvalve {

// AccountLoad is a value type; not synchronised.
struct AccountLoad
{
  ClientAccountId mAccount;
  // What its tasks use or may use.
  Resources mCharged;
  // The owner's part of its limit; zero in a component means no limit there.
  Resources mLimit;
  // Its jobs that have tasks which are ready and wait.
  int64_t mWaitingJobs = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_LOAD_H_
