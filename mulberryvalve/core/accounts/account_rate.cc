#include "mulberryvalve/core/accounts/account_rate.h"

#include <algorithm>
#include <iterator>

namespace mulberryvalve {

bool AccountRate::Admit(const ClientAccountId& aAccount,
                        double aJobsPerSecond,
                        WallTime aAcceptedAt)
{
  constexpr double kMsPerSecond = 1000;
  const double tokensPerMs = aJobsPerSecond / kMsPerSecond;
  const double size =
    std::max(1.0, tokensPerMs * static_cast<double>(kBurst.count()));
  const auto [found, isNew] =
    mBuckets.try_emplace(aAccount, Bucket{ size, aAcceptedAt });
  Bucket& bucket = found->second;
  // The clock that accepted the job before was far ahead. Without this, no
  // tokens would be added until the other clocks have reached that time.
  if (aAcceptedAt.mMilliseconds + kBurst.count() <
      bucket.mUpdatedAt.mMilliseconds) {
    bucket.mUpdatedAt = aAcceptedAt;
  }
  const int64_t elapsedMs = std::max<int64_t>(
    0, aAcceptedAt.mMilliseconds - bucket.mUpdatedAt.mMilliseconds);
  bucket.mTokens = std::min(
    size, bucket.mTokens + tokensPerMs * static_cast<double>(elapsedMs));
  bucket.mUpdatedAt.mMilliseconds += elapsedMs;
  if (bucket.mTokens < 1) {
    return false;
  }
  bucket.mTokens -= 1;
  return true;
}

void AccountRate::RetainOnly(const AccountDirectory& aAccounts)
{
  for (auto bucket = mBuckets.begin(); bucket != mBuckets.end();) {
    const bool isKept = aAccounts.Find(bucket->first) != nullptr;
    bucket = isKept ? std::next(bucket) : mBuckets.erase(bucket);
  }
}

} // namespace mulberryvalve
