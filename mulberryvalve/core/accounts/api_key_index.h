// ApiKeyIndex: finds the client account of an API key without storing the key.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_API_KEY_INDEX_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_API_KEY_INDEX_H_

#include "mulberryvalve/core/accounts/client_account.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

// AccountKeys are the API keys of one client account.
struct AccountKeys
{
  ClientAccountId mAccount;
  std::vector<std::string> mKeys;
};

// ApiKeyIndex is immutable and therefore thread-safe. It holds a hash of each
// key, made with a secret seed: neither its memory nor the time of a lookup
// tells anything about the keys.
class ApiKeyIndex
{
public:
  // An index without keys.
  ApiKeyIndex() = default;

  // A key that several accounts have belongs to the first of them. Empty keys
  // belong to nobody. aSeed should be random and stay within the process.
  ApiKeyIndex(const std::vector<AccountKeys>& aAccounts, uint64_t aSeed);

  // Find returns the account of aKey, or null if no account has it. The account
  // lives as long as this object.
  const ClientAccountId* Find(std::string_view aKey) const;

  // Size returns the number of different keys.
  size_t Size() const { return mEntries.size(); }

private:
  using KeyHash = std::array<uint64_t, 2>;

  struct Entry
  {
    KeyHash mHash{};
    uint32_t mAccount = 0;
  };

  KeyHash HashOf(std::string_view aKey) const;

  uint64_t mSeed = 0;
  std::vector<ClientAccountId> mAccounts;
  // Sorted by hash.
  std::vector<Entry> mEntries;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_API_KEY_INDEX_H_
