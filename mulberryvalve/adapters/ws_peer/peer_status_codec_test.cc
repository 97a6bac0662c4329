#include "mulberryvalve/adapters/ws_peer/peer_status_codec.h"

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

PeerStatus SampleStatus()
{
  PeerStatus status;
  status.mSender = { InstanceId("in-1"), Incarnation(7) };
  status.mDomain = DomainId("north");
  status.mCallerEndpoint = { "10.0.0.1", 8080 };
  status.mSequence = UINT64_MAX;
  status.mReady = true;
  status.mConfigHead = Offset(42);
  status.mConfigConfirmedAgeMs = 1500;
  status.mBundle = { BundleVersion(3), Offset(9), "abc", "{\"caf\u00e9\":1}" };
  status.mDomains = { { DomainId("south"), DomainState::kOut, Offset(5) } };
  status.mOwned = { ShardId("north/1"), ShardId("north/2") };
  status.mLoad = { { WorkerId("w-1"), 8 } };
  return status;
}

std::string SampleFrame()
{
  return EncodePeerStatus(SampleStatus()).value();
}

std::string ChangedFrame(const std::function<void(Json&)>& aChange)
{
  Json root = Json::from_cbor(SampleFrame());
  aChange(root);
  std::string frame;
  Json::to_cbor(root, frame);
  return frame;
}

std::string FrameWithout(const char* aKey)
{
  return ChangedFrame([aKey](Json& aRoot) { aRoot.erase(aKey); });
}

std::string FrameWith(const char* aKey, const Json& aValue)
{
  return ChangedFrame([&](Json& aRoot) { aRoot[aKey] = aValue; });
}

struct InvalidFrameCase
{
  const char* mName;
  std::string mFrame;
  FailureKind mKind;
};

std::vector<InvalidFrameCase> InvalidFrameCases()
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
    { "trailing byte", SampleFrame() + '\xf6', kBad },
    { "cut short", SampleFrame().substr(0, SampleFrame().size() - 1), kBad },
    { "no kind", FrameWithout("kind"), kBad },
    { "unknown kind", FrameWith("kind", "gossip"), kBad },
    { "kind is a number", FrameWith("kind", 1), kBad },
    { "no sequence", FrameWithout("sequence"), kBad },
    { "negative sequence", FrameWith("sequence", -1), kBad },
    { "port out of range", FrameWith("port", 65536), kBad },
    { "age out of range", FrameWith("config_age_ms", 4294967296ULL), kBad },
    { "ready is a number", FrameWith("ready", 1), kBad },
    { "empty instance", FrameWith("instance", ""), kBad },
    { "long instance", FrameWith("instance", longId), kBig },
    { "not UTF-8", FrameWith("instance", "\xc3\x28"), kBad },
    { "unknown field not UTF-8", FrameWith("other", "\xff"), kBad },
    { "long address", FrameWith("address", longId), kBig },
    { "bundle is a list", FrameWith("bundle", Json::array()), kBad },
    { "no bundle", FrameWithout("bundle"), kBad },
    { "domains is a map", FrameWith("domains", Json::object()), kBad },
    { "domain is a text", FrameWith("domains", { "south" }), kBad },
    { "owned is a list of numbers", FrameWith("owned", { 1 }), kBad },
    { "too many shards", FrameWith("owned", manyOwned), kBig },
    { "too many loads", FrameWith("load", manyLoads), kBig },
    { "unknown domain state",
      ChangedFrame([](Json& aRoot) { aRoot["domains"][0]["state"] = "away"; }),
      kBad },
    { "long document",
      ChangedFrame([](Json& aRoot) {
        aRoot["bundle"]["document"] = std::string(kMaxDocumentBytes + 1, 'd');
      }),
      kBig },
    { "nested unknown field",
      FrameWith("other", Json::parse("[[[[[1]]]]]")),
      kBig },
  };
}

} // namespace

TEST_GROUP(DigestCodec){};

TEST(DigestCodec, RestoresEveryField)
{
  const PeerStatus sent = SampleStatus();
  const Result<PeerStatus> read = DecodePeerStatus(SampleFrame());
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
  CHECK(DecodePeerStatus(FrameWith("later", { { "x", 1 } })).has_value());
}

TEST(DigestCodec, RejectsInvalidFrames)
{
  for (const InvalidFrameCase& invalid : InvalidFrameCases()) {
    const Result<PeerStatus> read = DecodePeerStatus(invalid.mFrame);
    CHECK_TEXT(!read, invalid.mName);
    CHECK_TEXT(read.error().mKind == invalid.mKind, invalid.mName);
    CHECK_TEXT(!read.error().mField.empty(), invalid.mName);
  }
}

TEST(DigestCodec, EncodingFailsBeyondLimits)
{
  PeerStatus status = SampleStatus();
  status.mBundle.mDocument.assign(kMaxDocumentBytes, 'd');
  CHECK(DecodePeerStatus(EncodePeerStatus(status).value()).has_value());
  status.mBundle.mDocument.push_back('d');
  CHECK(EncodePeerStatus(status).error().mKind == FailureKind::kTooLarge);
  status = SampleStatus();
  status.mSender.mInstance = InstanceId();
  CHECK(EncodePeerStatus(status).error().mKind == FailureKind::kMalformed);
}

TEST(DigestCodec, RejectsRandomBytes)
{
  std::mt19937 random(kSeed);
  for (int i = 0; i < kRandomFrames; i++) {
    std::string frame(random() % 200, '\0');
    for (char& byte : frame) {
      byte = static_cast<char>(random());
    }
    CHECK_FALSE(DecodePeerStatus(frame).has_value());
  }
}

// A frame with flipped bits may still decode. The decoded status must then be
// valid for encoding too.
TEST(DigestCodec, FlippedBitsAreRejectedOrDecodable)
{
  std::mt19937 random(kSeed);
  const std::string whole = SampleFrame();
  for (int i = 0; i < kRandomFrames; i++) {
    std::string frame = whole;
    for (uint32_t flips = 1 + random() % 4; flips > 0; flips--) {
      const uint32_t bit = random() % (8 * frame.size());
      frame[bit / 8] = static_cast<char>(frame[bit / 8] ^ (1 << (bit % 8)));
    }
    const Result<PeerStatus> read = DecodePeerStatus(frame);
    CHECK(!read || EncodePeerStatus(read.value()).has_value());
  }
}

} // namespace mulberryvalve
