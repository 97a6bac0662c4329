// What an account may start beside what it uses.
#include "mulberryvalve/core/accounts/account_rate.h"
#include "mulberryvalve/core/accounts/account_usage.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const ClientAccountId kAcme("acme");
const ClientAccountId kApex("apex");

std::shared_ptr<const AccountDirectory> AcmeWith(const Resources& aLimit)
{
  return std::make_shared<const AccountDirectory>(
    AccountDirectory::Accounts{ { kAcme, ClientAccount{ kAcme, 2, aLimit } } });
}

} // namespace

TEST_GROUP(AccountUsageTest)
{
  AccountUsage mUsage{ 1 };
};

// Guards against starting beyond a limit in any component, and against treating
// a limit of zero as one.
TEST(AccountUsageTest, ADemandFitsBesideTheCharge)
{
  const struct
  {
    Resources mLimit;
    Resources mCharged;
    Resources mDemand;
    bool mMayStart;
  } rows[] = {
    { { 100, 0, 0 }, { 60, 900, 9 }, { 40, 900, 9 }, true },
    { { 100, 0, 0 }, { 60, 0, 0 }, { 41, 0, 0 }, false },
    { { 0, 50, 0 }, { 60, 50, 0 }, { 1, 1, 0 }, false },
    { { 0, 0, 4 }, { 0, 0, 4 }, { 0, 0, 1 }, false },
    { { 0, 0, 4 }, { 0, 0, 4 }, { 10, 10, 0 }, true },
    { { 0, 0, 0 }, { 1000, 1000, 10 }, { 1000, 1000, 10 }, true },
    // A task that alone exceeds the limit runs alone.
    { { 100, 0, 0 }, { 0, 0, 0 }, { 150, 0, 0 }, true },
    { { 100, 0, 0 }, { 1, 0, 0 }, { 150, 0, 0 }, false },
    // A lowered limit.
    { { 10, 0, 0 }, { 60, 0, 0 }, { 1, 0, 0 }, false },
  };
  for (const auto& row : rows) {
    AccountUsage usage(1);
    usage.SetAccounts(AcmeWith(row.mLimit));
    usage.Charge(kAcme, row.mCharged);
    CHECK_EQUAL(row.mMayStart, usage.MayStart(kAcme, row.mDemand));
    CHECK(usage.MayStart(kApex, row.mDemand));
    CHECK(usage.MayStart(ClientAccountId(), row.mDemand));
  }
}

// Guards against a charge that is forgotten when the configuration changes, and
// against a successor that does not count what may run elsewhere.
TEST(AccountUsageTest, ChargesSurviveConfigurationsAndIncludeInheritedTasks)
{
  mUsage.Charge(kAcme, Resources{ 60, 0, 0 });
  CHECK(mUsage.MayStart(kAcme, Resources{ 60, 0, 0 }));
  mUsage.SetAccounts(AcmeWith(Resources{ 100, 0, 0 }));
  CHECK_FALSE(mUsage.MayStart(kAcme, Resources{ 60, 0, 0 }));
  mUsage.SetInherited({ { kAcme, Resources{ 40, 0, 0 } } });
  CHECK_FALSE(mUsage.MayStart(kAcme, Resources{ 1, 0, 0 }));
  mUsage.SetInherited({});
  mUsage.Release(kAcme, Resources{ 60, 0, 0 });
  CHECK(mUsage.MayStart(kAcme, Resources{ 100, 0, 0 }));
  CHECK(mUsage.All().empty());
}

// Guards against several owners that together exceed a limit.
TEST(AccountUsageTest, ShardsDivideALimit)
{
  AccountUsage usage(4);
  usage.SetAccounts(AcmeWith(Resources{ 100, 2, 0 }));
  CHECK(usage.MayStart(kAcme, Resources{ 25, 1, 0 }));
  CHECK_FALSE(usage.MayStart(kAcme, Resources{ 26, 0, 0 }));
  CHECK_FALSE(usage.MayStart(kAcme, Resources{ 0, 2, 0 }));
}

// Guards against a gang that exceeds the limit by more than one task because
// nothing of the account runs.
TEST(AccountUsageTest, AGangNeedsRoomForAllMembers)
{
  const struct
  {
    int64_t mCharged;
    uint32_t mTasks;
    bool mMayStart;
    bool mFitsAlone;
  } rows[] = {
    { 0, 4, true, true },                         // exactly the limit
    { 25, 4, false, true },                       // wider than what is left
    { 25, 3, true, true },  { 0, 5, true, true }, // one task over, alone
    { 25, 5, false, true }, { 0, 6, false, false }, { 25, 6, false, false },
  };
  for (const auto& row : rows) {
    AccountUsage usage(1);
    usage.SetAccounts(AcmeWith(Resources{ 100, 0, 0 }));
    usage.Charge(kAcme, Resources{ row.mCharged, 0, 0 });
    const Resources demand{ 25, 0, 0 };
    CHECK_EQUAL(row.mMayStart, usage.MayStart(kAcme, demand, row.mTasks));
    CHECK_EQUAL(row.mFitsAlone, usage.FitsAlone(kAcme, demand, row.mTasks));
  }
}

TEST_GROUP(AccountRateTest)
{
  AccountRate mRate;

  // Returns how many of aCount jobs, one every aIntervalMs, are within the rate
  // of two jobs per second.
  int Admitted(int aCount, int64_t aIntervalMs)
  {
    int admitted = 0;
    for (int job = 0; job < aCount; job++) {
      mNowMs += aIntervalMs;
      admitted += mRate.Admit(kAcme, 2, WallTime{ mNowMs }) ? 1 : 0;
    }
    return admitted;
  }

  int64_t mNowMs = 1780000000000;
};

// Guards against delaying an account that keeps to its rate, evenly or in
// bursts shorter than a few seconds.
TEST(AccountRateTest, JobsWithinTheRateAreAdmitted)
{
  const int steady = Admitted(40, 500);
  CHECK_EQUAL(40, steady);
  mNowMs += 5000;
  const int burst = Admitted(10, 0);
  CHECK_EQUAL(10, burst);
}

// Guards against an account that saves up its rate while it is idle.
TEST(AccountRateTest, IdleAccountsSaveNoMoreThanABurst)
{
  const int first = Admitted(1, 0);
  CHECK_EQUAL(1, first);
  mNowMs += int64_t{ 3600 } * 1000;
  const int afterAnHour = Admitted(100, 0);
  CHECK_EQUAL(10, afterAnHour);
}

// Guards against a flood that stays within its rate on paper: of seven and a
// half times the rate for six seconds, the burst and the rate are admitted.
TEST(AccountRateTest, AFloodIsBeyondTheRate)
{
  const int admitted = Admitted(90, 66);
  CHECK(admitted >= 20 && admitted <= 22);
}

// Guards against an account without a rate, and against clocks that go back.
TEST(AccountRateTest, OddInputsAdmitNoMoreThanTheRate)
{
  CHECK(mRate.Admit(kApex, 0, WallTime{ mNowMs }));
  CHECK_FALSE(mRate.Admit(kApex, 0, WallTime{ mNowMs + 100000 }));
  const int backwards = Admitted(20, -1000);
  CHECK_EQUAL(10, backwards);
}

// Guards against an account that is beyond its rate for an hour because one of
// its jobs was accepted by an instance whose clock is ahead by that.
TEST(AccountRateTest, AClockThatIsFarAheadDelaysNoFurtherJobs)
{
  CHECK(mRate.Admit(kAcme, 2, WallTime{ mNowMs + int64_t{ 3600 } * 1000 }));
  const int steady = Admitted(40, 500);
  CHECK_EQUAL(40, steady);
}

// Guards against memory that grows with every account that ever was.
TEST(AccountRateTest, RemovedAccountsAreForgotten)
{
  mRate.Admit(kAcme, 2, WallTime{ mNowMs });
  mRate.Admit(kApex, 2, WallTime{ mNowMs });
  CHECK_EQUAL(2U, mRate.Size());
  mRate.RetainOnly(*AcmeWith({}));
  CHECK_EQUAL(1U, mRate.Size());
  const int burst = Admitted(20, 0);
  CHECK_EQUAL(9, burst);
}

} // namespace mulberryvalve
