#include "mulberryvalve/core/accounts/account_usage.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

AccountUsage::AccountUsage(uint32_t aShards)
  : mShards(std::max(1U, aShards))
{
}

void AccountUsage::SetAccounts(
  std::shared_ptr<const AccountDirectory> aAccounts)
{
  mAccounts = std::move(aAccounts);
}

void AccountUsage::Charge(const ClientAccountId& aAccount,
                          const Resources& aDemand)
{
  if (!aAccount.Empty()) {
    mCharged[aAccount] += aDemand;
  }
}

void AccountUsage::Release(const ClientAccountId& aAccount,
                           const Resources& aDemand)
{
  const auto found = mCharged.find(aAccount);
  if (found == mCharged.end()) {
    return;
  }
  found->second -= aDemand;
  if (found->second == Resources()) {
    mCharged.erase(found);
  }
}

void AccountUsage::SetInherited(std::map<ClientAccountId, Resources> aInherited)
{
  mInherited = std::move(aInherited);
}

Resources AccountUsage::Charged(const ClientAccountId& aAccount) const
{
  Resources charged;
  const auto own = mCharged.find(aAccount);
  if (own != mCharged.end()) {
    charged += own->second;
  }
  const auto inherited = mInherited.find(aAccount);
  if (inherited != mInherited.end()) {
    charged += inherited->second;
  }
  return charged;
}

Resources AccountUsage::Limit(const ClientAccountId& aAccount) const
{
  const ClientAccount* account = Find(aAccount);
  if (account == nullptr) {
    return Resources();
  }
  // A limit below the number of shards must not become zero, which is none.
  const auto part = [this](int64_t aLimit) {
    return aLimit == 0 ? 0 : std::max<int64_t>(1, aLimit / mShards);
  };
  return Resources{ part(account->mLimit.mCpuMillis),
                    part(account->mLimit.mMemoryMb),
                    part(account->mLimit.mAccelerators) };
}

double AccountUsage::Weight(const ClientAccountId& aAccount) const
{
  const ClientAccount* account = Find(aAccount);
  return account == nullptr ? 0 : account->mJobsPerSecond;
}

bool AccountUsage::MayStart(const ClientAccountId& aAccount,
                            const Resources& aDemand) const
{
  const Resources limit = Limit(aAccount);
  if (limit == Resources()) {
    return true;
  }
  const Resources charged = Charged(aAccount);
  return FitsLimit(charged.mCpuMillis, aDemand.mCpuMillis, limit.mCpuMillis) &&
         FitsLimit(charged.mMemoryMb, aDemand.mMemoryMb, limit.mMemoryMb) &&
         FitsLimit(
           charged.mAccelerators, aDemand.mAccelerators, limit.mAccelerators);
}

const ClientAccount* AccountUsage::Find(const ClientAccountId& aAccount) const
{
  return mAccounts == nullptr ? nullptr : mAccounts->Find(aAccount);
}

bool AccountUsage::FitsLimit(int64_t aCharged,
                             int64_t aDemand,
                             int64_t aLimit) const
{
  const bool isAlone = aCharged == 0 && mShards == 1;
  return aLimit == 0 || aDemand == 0 || isAlone || aCharged + aDemand <= aLimit;
}

} // namespace mulberryvalve
