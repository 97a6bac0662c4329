// AccountDirectory: the client accounts of one version of the configuration.
#ifndef MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_
#define MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_

#include "mulberryvalve/core/accounts/client_account.h"

#include <map>
#include <utility>

namespace mulberryvalve {

// AccountDirectory is immutable and therefore thread-safe.
class AccountDirectory
{
public:
  explicit AccountDirectory(std::map<ClientAccountId, ClientAccount> aAccounts)
    : mAccounts(std::move(aAccounts))
  {
  }

  // Find returns the account, or null if this version of the configuration does
  // not have it.
  const ClientAccount* Find(const ClientAccountId& aId) const
  {
    const auto found = mAccounts.find(aId);
    return found == mAccounts.end() ? nullptr : &found->second;
  }

  // All returns every account by id.
  const std::map<ClientAccountId, ClientAccount>& All() const
  {
    return mAccounts;
  }

private:
  const std::map<ClientAccountId, ClientAccount> mAccounts;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_
