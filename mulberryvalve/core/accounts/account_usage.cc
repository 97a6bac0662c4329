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
                            const Resources& aDemand,
                            uint32_t aTasks) const
{
  return FitsBeside(aAccount, Charged(aAccount), aDemand, aTasks);
}

bool AccountUsage::FitsAlone(const ClientAccountId& aAccount,
                             const Resources& aDemand,
                             uint32_t aTasks) const
{
  return FitsBeside(aAccount, Resources(), aDemand, aTasks);
}

const ClientAccount* AccountUsage::Find(const ClientAccountId& aAccount) const
{
  return mAccounts == nullptr ? nullptr : mAccounts->Find(aAccount);
}

bool AccountUsage::FitsBeside(const ClientAccountId& aAccount,
                              const Resources& aCharged,
                              const Resources& aDemand,
                              uint32_t aTasks) const
{
  const Resources limit = Limit(aAccount);
  if (limit == Resources()) {
    return true;
  }
  const auto fits = [&](int64_t aUsed, int64_t aOfTask, int64_t aLimit) {
    const bool mayExceed = aUsed == 0 && mShards == 1;
    const int64_t mustFit = aOfTask * (mayExceed ? aTasks - 1 : aTasks);
    return aLimit == 0 || aOfTask == 0 || aUsed + mustFit <= aLimit;
  };
  return fits(aCharged.mCpuMillis, aDemand.mCpuMillis, limit.mCpuMillis) &&
         fits(aCharged.mMemoryMb, aDemand.mMemoryMb, limit.mMemoryMb) &&
         fits(
           aCharged.mAccelerators, aDemand.mAccelerators, limit.mAccelerators);
}

} // namespace mulberryvalve
