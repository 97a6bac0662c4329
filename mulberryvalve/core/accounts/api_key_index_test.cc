// Which account a key belongs to.
#include "mulberryvalve/core/accounts/api_key_index.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const ClientAccountId kFirst("first");
const ClientAccountId kSecond("second");

std::string TextOf(const ClientAccountId* aAccount)
{
  return aAccount == nullptr ? "" : aAccount->Text();
}

} // namespace

TEST_GROUP(ApiKeyIndexTest){};

// Guards against serving callers whose key no account has.
TEST(ApiKeyIndexTest, OnlyKeysOfAnAccountAreFound)
{
  const ApiKeyIndex index(
    { AccountKeys{ kFirst, { "k1", "k2" } }, AccountKeys{ kSecond, { "k3" } } },
    7);
  const std::pair<const char*, const char*> rows[] = {
    { "k1", "first" }, { "k2", "first" }, { "k3", "second" }, { "", "" },
    { "k", "" },       { "k11", "" },     { "K1", "" },       { " k1", "" },
  };
  for (const auto& [key, account] : rows) {
    STRCMP_EQUAL_TEXT(account, TextOf(index.Find(key)).c_str(), key);
  }
}

// Guards against instances that disagree about whose key it is, whatever their
// seeds are.
TEST(ApiKeyIndexTest, AKeyOfTwoAccountsBelongsToTheFirst)
{
  for (uint64_t seed = 0; seed < 50; seed++) {
    const ApiKeyIndex index({ AccountKeys{ kSecond, { "a", "shared" } },
                              AccountKeys{ kFirst, { "shared", "b" } } },
                            seed);
    STRCMP_EQUAL("second", TextOf(index.Find("shared")).c_str());
    CHECK_EQUAL(3, index.Size());
  }
}

// Guards against an account without a key that an empty header would open.
TEST(ApiKeyIndexTest, EmptyKeysBelongToNobody)
{
  const ApiKeyIndex index(
    { AccountKeys{ kFirst, { "", "k" } }, AccountKeys{ kSecond, {} } }, 1);
  POINTERS_EQUAL(nullptr, index.Find(""));
  CHECK_EQUAL(1, index.Size());
  POINTERS_EQUAL(nullptr, ApiKeyIndex().Find("k"));
}

} // namespace mulberryvalve
