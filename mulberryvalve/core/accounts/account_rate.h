// AccountRate: which jobs of a client account are beyond the rate that it may
// send.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_RATE_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_RATE_H_

#include "mulberryvalve/core/accounts/account_directory.h"
#include "mulberryvalve/core/base/time.h"

#include <cstddef>
#include <unordered_map>

namespace mulberryvalve {

// A token bucket for each account. Not synchronised.
class AccountRate
{
public:
  // How much of its rate an account may send at once. Callers arrive unevenly,
  // and a few seconds even that out.
  static constexpr Milliseconds kBurst{ 5000 };

  // Counts a job that was accepted at aAcceptedAt and returns whether it is
  // within a rate of aJobsPerSecond. Jobs of an account should be passed in the
  // order of their acceptance; an earlier time counts as that of the job
  // before, unless it is earlier by more than kBurst.
  bool Admit(const ClientAccountId& aAccount,
             double aJobsPerSecond,
             WallTime aAcceptedAt);

  // Forgets the accounts that are not in aAccounts.
  void RetainOnly(const AccountDirectory& aAccounts);

  // Size returns the number of accounts that are remembered.
  size_t Size() const { return mBuckets.size(); }

private:
  struct Bucket
  {
    double mTokens = 0;
    WallTime mUpdatedAt;
  };

  std::unordered_map<ClientAccountId, Bucket> mBuckets;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_RATE_H_
