// AccountUsage: what the tasks of each client account use, against its limit.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_USAGE_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_USAGE_H_

#include "mulberryvalve/core/accounts/account_directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace mulberryvalve {

// AccountUsage is the view of one shard's owner. An account without an id has
// no limit and is not counted. Not synchronised.
class AccountUsage
{
public:
  // aShards owners divide each limit equally; at least 1.
  explicit AccountUsage(uint32_t aShards);

  // SetAccounts replaces limits and weights. aAccounts is null if the
  // configuration has no accounts.
  void SetAccounts(std::shared_ptr<const AccountDirectory> aAccounts);

  // IsInForce returns whether the configuration has accounts.
  bool IsInForce() const { return mAccounts != nullptr; }

  // Charge adds a task, from the decision to start it on, and Release removes
  // one that has ended everywhere.
  void Charge(const ClientAccountId& aAccount, const Resources& aDemand);
  void Release(const ClientAccountId& aAccount, const Resources& aDemand);

  // SetInherited replaces the demand of what former owners started: tasks that
  // may run on workers that have not answered, and runs that are being stopped.
  void SetInherited(std::map<ClientAccountId, Resources> aInherited);

  // Charged returns what the account's tasks use or may use.
  Resources Charged(const ClientAccountId& aAccount) const;

  // Limit returns the owner's part of the account's limit; zero in a component
  // means no limit there.
  Resources Limit(const ClientAccountId& aAccount) const;

  // Weight returns the jobs per second that the account may send; zero if it is
  // not in force.
  double Weight(const ClientAccountId& aAccount) const;

  // MayStart returns whether aTasks tasks with a demand of aDemand each, which
  // start together, fit within the limit. In a component of which the account
  // uses nothing it is enough that all but one of them fit, since a task that
  // alone exceeds the limit would never run otherwise; not with several shards,
  // whose owners could each start one.
  bool MayStart(const ClientAccountId& aAccount,
                const Resources& aDemand,
                uint32_t aTasks = 1) const;

  // FitsAlone returns whether MayStart would be true if the account used
  // nothing.
  bool FitsAlone(const ClientAccountId& aAccount,
                 const Resources& aDemand,
                 uint32_t aTasks = 1) const;

  // All returns what the known tasks of each account use. It does not include
  // inherited demand.
  const std::unordered_map<ClientAccountId, Resources>& All() const
  {
    return mCharged;
  }

  // Inherited returns what SetInherited was given last.
  const std::map<ClientAccountId, Resources>& Inherited() const
  {
    return mInherited;
  }

private:
  const ClientAccount* Find(const ClientAccountId& aAccount) const;
  bool FitsBeside(const ClientAccountId& aAccount,
                  const Resources& aCharged,
                  const Resources& aDemand,
                  uint32_t aTasks) const;

  const uint32_t mShards;
  std::shared_ptr<const AccountDirectory> mAccounts;
  std::unordered_map<ClientAccountId, Resources> mCharged;
  std::map<ClientAccountId, Resources> mInherited;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_USAGE_H_
