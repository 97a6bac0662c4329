// A soak with real processes: gangs, racks, lasting and short jobs in two
// shards, while instances stand still or are killed and workers are lost or
// fail. MULBERRYVALVE_SOAK_SEED is the first seed and MULBERRYVALVE_SOAK_SEEDS
// the number of them.
#include "tests/entry/entry_cluster.h"
#include "tests/support/setting.h"

#include <csignal>
#include <map>
#include <random>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 16;
constexpr size_t kRackSize = 4;
constexpr int64_t kMostOfAWorker = 12000;
constexpr int kRounds = 12;
constexpr Milliseconds kRound{ 1500 };
constexpr size_t kMostLost = 2;
constexpr Milliseconds kSettleLimit{ 60000 };

// Draws what happens by a seed. The time at which it happens is the machine's.
class Soak
{
public:
  explicit Soak(uint64_t aSeed)
    : mRandom(aSeed)
    , mCluster(kWorkers, kRackSize, 2)
  {
  }

  // Returns what was found, or "".
  std::string Run()
  {
    SubmitLasting(2 + Draw(4), false);
    SubmitLasting(2 + Draw(2), true);
    SubmitLasting(2 + Draw(2), true);
    for (int round = 0; round < kRounds; round++) {
      SubmitShort();
      Disturb();
      review::SleepFor(kRound);
      Resume();
    }
    const bool isSettled =
      PollUntil(kSettleLimit, [&] { return Missing().empty(); });
    const std::vector<std::string> doubles = mCluster.DoubleStarts();
    return isSettled ? (doubles.empty() ? "" : doubles.front()) : Missing();
  }

private:
  uint32_t Draw(uint32_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % aBelow);
  }

  std::string NextJob()
  {
    const std::string hex = "0123456789abcdef";
    std::string id;
    for (int digit = 0; digit < 16; digit++) {
      id += hex[Draw(16)];
    }
    return id;
  }

  void SubmitLasting(uint32_t aTasks, bool aIsGang)
  {
    nlohmann::json step{ { "count", aTasks },
                         { "cpu", kMostOfAWorker },
                         { "mem_mb", 1024 },
                         { "long_running", true } };
    if (aIsGang) {
      step["gang"] = true;
    }
    if (Draw(2) == 0) {
      step["same_rack"] = true;
    }
    const std::string job = NextJob();
    if (mCluster.Submit(job, step, std::nullopt)) {
      mLasting[job] = aTasks;
    }
  }

  void SubmitShort()
  {
    const nlohmann::json step{ { "count", 1 + Draw(4) },
                               { "cpu", 1000 },
                               { "mem_mb", 256 },
                               { "estimated_ms", 500 } };
    const std::string job = NextJob();
    if (mCluster.Submit(job, step, Milliseconds(500))) {
      mShort.push_back(job);
    }
  }

  void Disturb()
  {
    const std::string worker = "i-" + std::to_string(100 + Draw(kWorkers));
    const uint32_t instance = Draw(3);
    switch (Draw(6)) {
      case 0:
        if (!mKilled) {
          mCluster.World().Instances().Signal(instance, SIGKILL);
          mKilled = instance;
        }
        break;
      case 1:
      case 2:
        mCluster.World().Instances().Signal(instance, SIGSTOP);
        mStopped = instance;
        break;
      case 3:
        if (mLost < kMostLost) {
          mLost++;
          mCluster.World().Workers().Lose(worker);
        }
        break;
      case 4:
        mCluster.World().Workers().Spoil(worker, true);
        mSpoilt = worker;
        break;
      default:
        break;
    }
  }

  void Resume()
  {
    if (mStopped) {
      mCluster.World().Instances().Signal(*mStopped, SIGCONT);
      mStopped.reset();
    }
    if (!mSpoilt.empty()) {
      mCluster.World().Workers().Spoil(mSpoilt, false);
      mSpoilt.clear();
    }
  }

  // Returns a job that doesn't run as it should, or "".
  std::string Missing()
  {
    for (const auto& [job, tasks] : mLasting) {
      const size_t running = mCluster.RunningOf(job);
      if (running != tasks) {
        return job + " has " + std::to_string(running) + " of " +
               std::to_string(tasks) + " tasks running";
      }
    }
    while (!mShort.empty()) {
      const std::string state = mCluster.World().Ask(mShort.back());
      if (state != "completed" && state != "failed") {
        return mShort.back() + " is " + state;
      }
      mShort.pop_back();
    }
    return "";
  }

  std::mt19937_64 mRandom;
  EntryCluster mCluster;
  std::map<std::string, uint32_t> mLasting;
  std::vector<std::string> mShort;
  std::optional<uint32_t> mKilled;
  std::optional<uint32_t> mStopped;
  std::string mSpoilt;
  size_t mLost = 0;
};

} // namespace

TEST_GROUP(Soak){};

TEST(Soak, WhatLastsRunsOnceAndAgain)
{
  const uint64_t first = SettingOr("MULBERRYVALVE_SOAK_SEED", 1);
  const uint64_t seeds = SettingOr("MULBERRYVALVE_SOAK_SEEDS", 1);
  for (uint64_t seed = first; seed < first + seeds; seed++) {
    const std::string found = Soak(seed).Run();
    const std::string where = "seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT("", found.c_str(), where.c_str());
  }
}

} // namespace mulberryvalve
