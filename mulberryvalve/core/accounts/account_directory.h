// AccountDirectory: the client accounts of one version of the configuration.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_

#include "mulberryvalve/core/accounts/api_key_index.h"
#include "mulberryvalve/core/accounts/client_account.h"

#include <map>
#include <string_view>
#include <utility>

namespace mulberryvalve {

// AccountDirectory is immutable and therefore thread-safe.
class AccountDirectory
{
public:
  using Accounts = std::map<ClientAccountId, ClientAccount>;

  explicit AccountDirectory(Accounts aAccounts, ApiKeyIndex aKeys = {})
    : mAccounts(std::move(aAccounts))
    , mKeys(std::move(aKeys))
  {
  }

  // AccountOfKey returns the account to which an API key belongs, or null.
  const ClientAccountId* AccountOfKey(std::string_view aKey) const
  {
    return mKeys.Find(aKey);
  }

  // Find returns the account, or null if this version of the configuration does
  // not have it.
  const ClientAccount* Find(const ClientAccountId& aId) const
  {
    const auto found = mAccounts.find(aId);
    return found == mAccounts.end() ? nullptr : &found->second;
  }

  // All returns every account by id.
  const Accounts& All() const { return mAccounts; }

private:
  const Accounts mAccounts;
  const ApiKeyIndex mKeys;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_
