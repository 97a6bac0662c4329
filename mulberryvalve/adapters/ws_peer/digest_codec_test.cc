#include "mulberryvalve/adapters/ws_peer/digest_codec.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kSeed = 20260;
constexpr int kRandomFrames = 20000;

PeerStatus Sample()
{
  PeerStatus digest;
  digest.mSender = { InstanceId("in-1"), Incarnation(7) };
  digest.mDomain = DomainId("north");
  digest.mCallerEndpoint = { "10.0.0.1", 8080 };
  digest.mSequence = UINT64_MAX;
  digest.mReady = true;
  digest.mConfigHead = Offset(42);
  digest.mConfigConfirmedAgeMs = 1500;
  digest.mBundle = { BundleVersion(3), Offset(9), "abc", "{\"caf\u00e9\":1}" };
  digest.mDomains = { { DomainId("south"), DomainState::kOut, Offset(5) } };
  digest.mOwned = { ShardId("north/1"), ShardId("north/2") };
  digest.mLoad = { { WorkerId("w-1"), 8 } };
  return digest;
}

std::string Frame()
{
  return EncodeDigest(Sample()).value();
}

std::string Changed(const std::function<void(Json&)>& aChange)
{
  Json root = Json::from_cbor(Frame());
  aChange(root);
  std::string frame;
  Json::to_cbor(root, frame);
  return frame;
}

std::string Without(const char* aKey)
{
  return Changed([aKey](Json& aRoot) { aRoot.erase(aKey); });
}

std::string With(const char* aKey, const Json& aValue)
{
  return Changed([&](Json& aRoot) { aRoot[aKey] = aValue; });
}

struct HostileCase
{
  const char* mName;
  std::string mFrame;
  FailureKind mKind;
};

std::vector<HostileCase> HostileCases()
{
  constexpr auto kBad = FailureKind::kMalformed;
  constexpr auto kBig = FailureKind::kTooLarge;
  const std::string longId(kMaxIdBytes + 1, 'x');
  const Json manyOwned(kMaxOwnedShards + 1, "s");
  const Json manyLoads(kMaxWorkerLoads + 1,
                       { { "worker", "w" }, { "in_flight", 1 } });
  return {
    { "empty", "", kBad },
    { "frame too long", std::string(kMaxFrameBytes + 1, 'x'), kBig },
    { "nested arrays", std::string(kMaxFrameBytes, '\x81'), kBig },
    { "nested text chunks", std::string(kMaxFrameBytes, '\x7f'), kBad },
    { "nested byte chunks", std::string(kMaxFrameBytes, '\x5f'), kBad },
    { "nested tags", std::string(kMaxFrameBytes, '\xc1'), kBad },
    { "endless array", std::string(100, '\x9f'), kBad },
    { "huge text", "\x7b\xff\xff\xff\xff\xff\xff\xff\xff", kBad },
    { "huge array", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", kBad },
    { "huge map", "\xbb\x80" + std::string(7, '\0'), kBad },
    { "number key", "\xa1\x01\x01", kBad },
    { "floating point", "\xf9\x3c", kBad },
    { "break alone", "\xff", kBad },
    { "not a map", "\x80", kBad },
    { "no fields", "\xa0", kBad },
    { "trailing byte", Frame() + '\xf6', kBad },
    { "cut short", Frame().substr(0, Frame().size() - 1), kBad },
    { "no kind", Without("kind"), kBad },
    { "unknown kind", With("kind", "gossip"), kBad },
    { "kind is a number", With("kind", 1), kBad },
    { "no sequence", Without("sequence"), kBad },
    { "negative sequence", With("sequence", -1), kBad },
    { "port out of range", With("port", 65536), kBad },
    { "age out of range", With("config_age_ms", 4294967296ULL), kBad },
    { "ready is a number", With("ready", 1), kBad },
    { "empty instance", With("instance", ""), kBad },
    { "long instance", With("instance", longId), kBig },
    { "not UTF-8", With("instance", "\xc3\x28"), kBad },
    { "unknown field not UTF-8", With("other", "\xff"), kBad },
    { "long address", With("address", longId), kBig },
    { "bundle is a list", With("bundle", Json::array()), kBad },
    { "no bundle", Without("bundle"), kBad },
    { "domains is a map", With("domains", Json::object()), kBad },
    { "domain is a text", With("domains", { "south" }), kBad },
    { "owned is a list of numbers", With("owned", { 1 }), kBad },
    { "too many shards", With("owned", manyOwned), kBig },
    { "too many loads", With("load", manyLoads), kBig },
    { "unknown domain state",
      Changed([](Json& aRoot) { aRoot["domains"][0]["state"] = "away"; }),
      kBad },
    { "long document",
      Changed([](Json& aRoot) {
        aRoot["bundle"]["document"] = std::string(kMaxDocumentBytes + 1, 'd');
      }),
      kBig },
    { "nested unknown field", With("other", Json::parse("[[[[[1]]]]]")), kBig },
  };
}

} // namespace

TEST_GROUP(DigestCodec){};

TEST(DigestCodec, RestoresEveryField)
{
  const PeerStatus sent = Sample();
  const Result<PeerStatus> read = DecodeDigest(Frame());
  CHECK(read.has_value());
  const PeerStatus& got = read.value();
  CHECK(got.mSender == sent.mSender);
  CHECK(got.mDomain == sent.mDomain);
  CHECK_EQUAL(sent.mCallerEndpoint.mAddress, got.mCallerEndpoint.mAddress);
  CHECK_EQUAL(sent.mCallerEndpoint.mPort, got.mCallerEndpoint.mPort);
  CHECK_EQUAL(sent.mSequence, got.mSequence);
  CHECK(got.mReady);
  CHECK_FALSE(got.mStopping);
  CHECK(got.mConfigHead == sent.mConfigHead);
  CHECK_EQUAL(sent.mConfigConfirmedAgeMs, got.mConfigConfirmedAgeMs);
  CHECK(got.mBundle.mVersion == sent.mBundle.mVersion);
  CHECK(got.mBundle.mOffset == sent.mBundle.mOffset);
  CHECK_EQUAL(sent.mBundle.mDigest, got.mBundle.mDigest);
  CHECK_EQUAL(sent.mBundle.mDocument, got.mBundle.mDocument);
  CHECK_EQUAL(1u, got.mDomains.size());
  CHECK(got.mDomains[0].mDomain == DomainId("south"));
  CHECK(got.mDomains[0].mState == DomainState::kOut);
  CHECK(got.mDomains[0].mOffset == Offset(5));
  CHECK(got.mOwned == sent.mOwned);
  CHECK_EQUAL(1u, got.mLoad.size());
  CHECK(got.mLoad[0].mWorker == WorkerId("w-1"));
  CHECK_EQUAL(8u, got.mLoad[0].mInFlight);
}

TEST(DigestCodec, SkipsUnknownFields)
{
  CHECK(DecodeDigest(With("later", { { "x", 1 } })).has_value());
}

TEST(DigestCodec, RefusesHostileFrames)
{
  for (const HostileCase& hostile : HostileCases()) {
    const Result<PeerStatus> read = DecodeDigest(hostile.mFrame);
    CHECK_TEXT(!read, hostile.mName);
    CHECK_TEXT(read.error().mKind == hostile.mKind, hostile.mName);
    CHECK_TEXT(!read.error().mField.empty(), hostile.mName);
  }
}

TEST(DigestCodec, RefusesToEncodeBeyondTheLimits)
{
  PeerStatus digest = Sample();
  digest.mBundle.mDocument.assign(kMaxDocumentBytes, 'd');
  CHECK(DecodeDigest(EncodeDigest(digest).value()).has_value());
  digest.mBundle.mDocument.push_back('d');
  CHECK(EncodeDigest(digest).error().mKind == FailureKind::kTooLarge);
  digest = Sample();
  digest.mSender.mInstance = InstanceId();
  CHECK(EncodeDigest(digest).error().mKind == FailureKind::kMalformed);
}

TEST(DigestCodec, SurvivesRandomBytes)
{
  std::mt19937 random(kSeed);
  for (int i = 0; i < kRandomFrames; i++) {
    std::string frame(random() % 200, '\0');
    for (char& byte : frame) {
      byte = static_cast<char>(random());
    }
    CHECK_FALSE(DecodeDigest(frame).has_value());
  }
}

// A frame with flipped bits may still be a digest; then it must be one that
// can be encoded again.
TEST(DigestCodec, SurvivesFlippedBits)
{
  std::mt19937 random(kSeed);
  const std::string whole = Frame();
  for (int i = 0; i < kRandomFrames; i++) {
    std::string frame = whole;
    for (uint32_t flips = 1 + random() % 4; flips > 0; flips--) {
      const uint32_t bit = random() % (8 * frame.size());
      frame[bit / 8] = static_cast<char>(frame[bit / 8] ^ (1 << (bit % 8)));
    }
    const Result<PeerStatus> read = DecodeDigest(frame);
    CHECK(!read || EncodeDigest(read.value()).has_value());
  }
}

} // namespace mulberryvalve
