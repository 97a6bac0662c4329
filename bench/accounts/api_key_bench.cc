// Measures the memory of an index of API keys and the time of a lookup, of keys
// that are known and of keys that are not.
//
//   api_key_bench [KEYS]
#include "mulberryvalve/core/accounts/api_key_index.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr size_t kDefaultKeys = 10'000;
constexpr size_t kKeysPerAccount = 25;
constexpr size_t kKeyLength = 40;
constexpr size_t kRounds = 100;
constexpr uint64_t kSeed = 0x5eed;

std::vector<std::string> RandomKeys(size_t aCount, std::mt19937_64& aRandom)
{
  constexpr char kLetters[] = "0123456789abcdef";
  std::vector<std::string> keys(aCount, std::string(kKeyLength, ' '));
  for (std::string& key : keys) {
    for (char& letter : key) {
      letter = kLetters[aRandom() % (sizeof(kLetters) - 1)];
    }
  }
  return keys;
}

size_t HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns the nanoseconds of a lookup, and adds the keys found to aFound.
double MeasureLookups(const ApiKeyIndex& aIndex,
                      const std::vector<std::string>& aKeys,
                      size_t& aFound)
{
  const auto begin = std::chrono::steady_clock::now();
  for (size_t round = 0; round < kRounds; round++) {
    for (const std::string& key : aKeys) {
      aFound += aIndex.Find(key) == nullptr ? 0 : 1;
    }
  }
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  return std::chrono::duration<double, std::nano>(elapsed).count() /
         static_cast<double>(kRounds * aKeys.size());
}

void Measure(size_t aKeys)
{
  std::mt19937_64 random(kSeed);
  std::vector<AccountKeys> accounts;
  std::vector<std::string> known;
  while (known.size() < aKeys) {
    const std::vector<std::string> keys = RandomKeys(kKeysPerAccount, random);
    const ClientAccountId id("account-" + std::to_string(accounts.size()));
    accounts.push_back(AccountKeys{ id, keys });
    known.insert(known.end(), keys.begin(), keys.end());
  }
  const std::vector<std::string> unknown = RandomKeys(known.size(), random);
  const size_t before = HeapBytes();
  const ApiKeyIndex index(accounts, random());
  const size_t bytes = HeapBytes() - before;
  size_t found = 0;
  const double knownNs = MeasureLookups(index, known, found);
  const double unknownNs = MeasureLookups(index, unknown, found);
  std::printf("keys=%zu accounts=%zu bytes=%zu known_ns=%.1f unknown_ns=%.1f "
              "found=%zu\n",
              index.Size(),
              accounts.size(),
              bytes,
              knownNs,
              unknownNs,
              found / kRounds);
}

} // namespace
} // namespace mulberryvalve

int main(int aCount, char** aArguments)
{
  mulberryvalve::Measure(aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10)
                                    : mulberryvalve::kDefaultKeys);
  return 0;
}
