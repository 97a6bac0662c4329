#include "mulberryvalve/app/jobs/account_metrics.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

constexpr std::string_view kNamePrefix = "mulberryvalve_";
// The row of all other accounts. An account of this name counts there.
constexpr std::string_view kOther = "_other";

int64_t ValueOf(const AccountLoad& aLoad, AccountGauge aGauge)
{
  switch (aGauge) {
    case AccountGauge::kChargedCpu:
      return aLoad.mCharged.mCpuMillis;
    case AccountGauge::kChargedMemory:
      return aLoad.mCharged.mMemoryMb;
    case AccountGauge::kChargedAccelerators:
      return aLoad.mCharged.mAccelerators;
    case AccountGauge::kLimitCpu:
      return aLoad.mLimit.mCpuMillis;
    case AccountGauge::kLimitMemory:
      return aLoad.mLimit.mMemoryMb;
    case AccountGauge::kLimitAccelerators:
      return aLoad.mLimit.mAccelerators;
    case AccountGauge::kWaitingJobs:
      return aLoad.mWaitingJobs;
  }
  return 0;
}

// The sum of several limits limits nothing, as some accounts may have none.
bool HasSum(AccountGauge aGauge)
{
  return aGauge != AccountGauge::kLimitCpu &&
         aGauge != AccountGauge::kLimitMemory &&
         aGauge != AccountGauge::kLimitAccelerators;
}

std::string Escaped(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter == '\n' ? "\\n" : std::string(1, letter);
  }
  return escaped;
}

void AppendSample(std::string& aText,
                  const std::string& aName,
                  std::string_view aAccount,
                  int64_t aValue)
{
  aText += aName + "{account=\"" + Escaped(aAccount) + "\"} " +
           std::to_string(aValue) + "\n";
}

bool IsLarger(const AccountLoad& aLeft, const AccountLoad& aRight)
{
  const Resources& left = aLeft.mCharged;
  const Resources& right = aRight.mCharged;
  return std::tie(left.mCpuMillis,
                  left.mAccelerators,
                  left.mMemoryMb,
                  aLeft.mWaitingJobs) > std::tie(right.mCpuMillis,
                                                 right.mAccelerators,
                                                 right.mMemoryMb,
                                                 aRight.mWaitingJobs);
}

void AddTo(AccountLoad& aSum, const AccountLoad& aLoad)
{
  aSum.mCharged += aLoad.mCharged;
  aSum.mLimit += aLoad.mLimit;
  aSum.mWaitingJobs += aLoad.mWaitingJobs;
}

} // namespace

void AccountMetrics::Observe(ShardNumber aShard,
                             Epoch aEpoch,
                             std::vector<AccountLoad> aAccounts)
{
  MutexLock lock(mMutex);
  if (aAccounts.empty()) {
    mAccounts.erase({ aShard, aEpoch });
  } else {
    mAccounts[{ aShard, aEpoch }] = std::move(aAccounts);
  }
}

void AccountMetrics::OnOwnershipOver(ShardNumber aShard, Epoch aEpoch)
{
  MutexLock lock(mMutex);
  mAccounts.erase({ aShard, aEpoch });
}

// Returns the sum of each account, the largest charge first.
std::vector<AccountLoad> AccountMetrics::LargestFirst() const
{
  std::map<ClientAccountId, AccountLoad> sums;
  {
    MutexLock lock(mMutex);
    for (const auto& [ownership, accounts] : mAccounts) {
      for (const AccountLoad& load : accounts) {
        AccountLoad& sum = sums[load.mAccount];
        sum.mAccount = load.mAccount;
        AddTo(sum, load);
      }
    }
  }
  std::vector<AccountLoad> loads;
  loads.reserve(sums.size());
  for (auto& [account, sum] : sums) {
    loads.push_back(std::move(sum));
  }
  std::stable_sort(loads.begin(), loads.end(), IsLarger);
  return loads;
}

std::string AccountMetrics::Exposition() const
{
  std::vector<AccountLoad> rows;
  AccountLoad other;
  bool hasOther = false;
  for (AccountLoad& load : LargestFirst()) {
    if (rows.size() < kRows && load.mAccount.Text() != kOther) {
      rows.push_back(std::move(load));
    } else {
      AddTo(other, load);
      hasOther = true;
    }
  }
  std::string text;
  if (rows.empty() && !hasOther) {
    return text;
  }
  for (const auto& row : kAccountGaugeNames.mRows) {
    const std::string name = std::string(kNamePrefix) + std::string(row.mName);
    text += "# HELP " + name + " " + std::string(row.mHelp) + "\n";
    text += "# TYPE " + name + " gauge\n";
    for (const AccountLoad& load : rows) {
      AppendSample(text, name, load.mAccount.Text(), ValueOf(load, row.mValue));
    }
    if (hasOther && HasSum(row.mValue)) {
      AppendSample(text, name, kOther, ValueOf(other, row.mValue));
    }
  }
  return text;
}

} // namespace mulberryvalve
