#include "mulberryvalve/core/accounts/api_key_index.h"

#include <algorithm>
#include <xxhash.h>

namespace mulberryvalve {

ApiKeyIndex::ApiKeyIndex(const std::vector<AccountKeys>& aAccounts,
                         uint64_t aSeed)
  : mSeed(aSeed)
{
  for (const AccountKeys& account : aAccounts) {
    const auto number = static_cast<uint32_t>(mAccounts.size());
    mAccounts.push_back(account.mAccount);
    for (const std::string& key : account.mKeys) {
      if (!key.empty()) {
        mEntries.push_back(Entry{ HashOf(key), number });
      }
    }
  }
  // The sort is stable, so that the first account of a key stays the first.
  std::stable_sort(mEntries.begin(),
                   mEntries.end(),
                   [](const Entry& aLeft, const Entry& aRight) {
                     return aLeft.mHash < aRight.mHash;
                   });
  const auto end = std::unique(mEntries.begin(),
                               mEntries.end(),
                               [](const Entry& aLeft, const Entry& aRight) {
                                 return aLeft.mHash == aRight.mHash;
                               });
  mEntries.erase(end, mEntries.end());
  mEntries.shrink_to_fit();
}

const ClientAccountId* ApiKeyIndex::Find(std::string_view aKey) const
{
  if (aKey.empty()) {
    return nullptr;
  }
  const KeyHash hash = HashOf(aKey);
  const auto found =
    std::lower_bound(mEntries.begin(),
                     mEntries.end(),
                     hash,
                     [](const Entry& aEntry, const KeyHash& aHash) {
                       return aEntry.mHash < aHash;
                     });
  if (found == mEntries.end() || found->mHash != hash) {
    return nullptr;
  }
  return &mAccounts[found->mAccount];
}

ApiKeyIndex::KeyHash ApiKeyIndex::HashOf(std::string_view aKey) const
{
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(aKey.data(), aKey.size(), mSeed);
  return KeyHash{ hash.high64, hash.low64 };
}

} // namespace mulberryvalve
