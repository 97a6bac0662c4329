// Metrics by client account.
#include "mulberryvalve/app/jobs/account_metrics.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr ShardNumber kFirst = 0;
constexpr ShardNumber kSecond = 1;
const Epoch kEpoch(64);
const Epoch kNextEpoch(128);

AccountLoad LoadOf(const std::string& aAccount, int64_t aCpu)
{
  return AccountLoad{ ClientAccountId(aAccount),
                      Resources{ aCpu, 2 * aCpu, 1 },
                      Resources{ 1000, 0, 4 },
                      3 };
}

} // namespace

TEST_GROUP(AccountMetricsTest)
{
  AccountMetrics mMetrics;

  void CheckHas(const std::string& aLine)
  {
    STRCMP_CONTAINS((aLine + "\n").c_str(), mMetrics.Exposition().c_str());
  }

  void CheckHasNot(const char* aText)
  {
    CHECK(mMetrics.Exposition().find(aText) == std::string::npos);
  }
};

// Guards against rows in deployments without accounts.
TEST(AccountMetricsTest, WithoutAccountsThereIsNoText)
{
  mMetrics.Observe(kFirst, kEpoch, {});
  STRCMP_EQUAL("", mMetrics.Exposition().c_str());
}

TEST(AccountMetricsTest, EachFigureHasARow)
{
  mMetrics.Observe(kFirst, kEpoch, { LoadOf("acme", 100) });
  CheckHas("# TYPE mulberryvalve_account_charged_cpu_millis gauge");
  CheckHas("mulberryvalve_account_charged_cpu_millis{account=\"acme\"} 100");
  CheckHas("mulberryvalve_account_charged_memory_mb{account=\"acme\"} 200");
  CheckHas("mulberryvalve_account_charged_accelerators{account=\"acme\"} 1");
  CheckHas("mulberryvalve_account_limit_cpu_millis{account=\"acme\"} 1000");
  CheckHas("mulberryvalve_account_limit_memory_mb{account=\"acme\"} 0");
  CheckHas("mulberryvalve_account_limit_accelerators{account=\"acme\"} 4");
  CheckHas("mulberryvalve_account_waiting_jobs{account=\"acme\"} 3");
  CheckHasNot("_other");
}

// Guards against a text that grows with every account, and against an account
// whose name is that of the row of the others.
TEST(AccountMetricsTest, TheLargestHaveRowsAndTheOthersAreOneRow)
{
  std::vector<AccountLoad> loads;
  for (int64_t number = 1; number <= 400; number++) {
    loads.push_back(LoadOf("a" + std::to_string(number), number));
  }
  loads.push_back(LoadOf("_other", 100000));
  mMetrics.Observe(kFirst, kEpoch, std::move(loads));
  CheckHas("mulberryvalve_account_charged_cpu_millis{account=\"a400\"} 400");
  CheckHas("mulberryvalve_account_charged_cpu_millis{account=\"a351\"} 351");
  CheckHasNot("{account=\"a350\"}");
  const int64_t others = 350 * 351 / 2 + 100000;
  CheckHas("mulberryvalve_account_charged_cpu_millis{account=\"_other\"} " +
           std::to_string(others));
  CheckHas("mulberryvalve_account_waiting_jobs{account=\"_other\"} 1053");
  CheckHasNot("limit_cpu_millis{account=\"_other\"}");
}

// Guards against names that break the text for its readers.
TEST(AccountMetricsTest, NamesAreEscaped)
{
  mMetrics.Observe(kFirst, kEpoch, { LoadOf("a\"b\\c\nd", 1) });
  CheckHas("mulberryvalve_account_charged_cpu_millis"
           "{account=\"a\\\"b\\\\c\\nd\"} 1");
}

// Guards against shards that replace each other's figures, and against those of
// a shard that this instance has lost.
TEST(AccountMetricsTest, OwnershipsAddUpUntilTheyAreOver)
{
  mMetrics.Observe(kFirst, kEpoch, { LoadOf("acme", 100) });
  mMetrics.Observe(kSecond, kEpoch, { LoadOf("acme", 50) });
  CheckHas("mulberryvalve_account_charged_cpu_millis{account=\"acme\"} 150");
  CheckHas("mulberryvalve_account_limit_cpu_millis{account=\"acme\"} 2000");
  mMetrics.Observe(kFirst, kNextEpoch, { LoadOf("acme", 7) });
  mMetrics.OnOwnershipOver(kFirst, kEpoch);
  CheckHas("mulberryvalve_account_charged_cpu_millis{account=\"acme\"} 57");
  mMetrics.OnOwnershipOver(kFirst, kNextEpoch);
  mMetrics.Observe(kSecond, kEpoch, {});
  STRCMP_EQUAL("", mMetrics.Exposition().c_str());
}

} // namespace mulberryvalve
