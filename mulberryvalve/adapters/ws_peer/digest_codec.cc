#include "mulberryvalve/adapters/ws_peer/digest_codec.h"

#include "mulberryvalve/adapters/ws_peer/cbor_check.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace mulberryvalve {
namespace {

using Json = nlohmann::json;

constexpr const char* kKind = "kind";
constexpr const char* kInstance = "instance";
constexpr const char* kIncarnation = "incarnation";
constexpr const char* kDomain = "domain";
constexpr const char* kAddress = "address";
constexpr const char* kPort = "port";
constexpr const char* kSequence = "sequence";
constexpr const char* kReady = "ready";
constexpr const char* kStopping = "stopping";
constexpr const char* kConfigHead = "config_head";
constexpr const char* kConfigAge = "config_age_ms";
constexpr const char* kBundle = "bundle";
constexpr const char* kVersion = "version";
constexpr const char* kOffset = "offset";
constexpr const char* kDigest = "digest";
constexpr const char* kDocument = "document";
constexpr const char* kDomains = "domains";
constexpr const char* kState = "state";
constexpr const char* kOwned = "owned";
constexpr const char* kLoad = "load";
constexpr const char* kWorker = "worker";
constexpr const char* kInFlight = "in_flight";

enum class Presence
{
  kOptional,
  kRequired,
};

// Reader reads the fields of one map and keeps the first failure.
class Reader
{
public:
  explicit Reader(const Json& aMap)
    : mMap(aMap)
  {
    if (!mMap.is_object()) {
      Refuse(FailureKind::kMalformed, "frame", "not a map");
    }
  }

  uint64_t Number(const char* aKey,
                  uint64_t aMax = std::numeric_limits<uint64_t>::max())
  {
    const Json* found = Find(aKey);
    if (found == nullptr) {
      return 0;
    }
    if (!found->is_number_unsigned()) {
      Refuse(FailureKind::kMalformed, aKey, "not an unsigned integer");
      return 0;
    }
    const auto value = found->get<uint64_t>();
    if (value > aMax) {
      Refuse(FailureKind::kMalformed, aKey, "out of range");
    }
    return value;
  }

  bool Flag(const char* aKey)
  {
    const Json* found = Find(aKey);
    if (found == nullptr) {
      return false;
    }
    if (!found->is_boolean()) {
      Refuse(FailureKind::kMalformed, aKey, "not a boolean");
      return false;
    }
    return found->get<bool>();
  }

  std::string Text(const char* aKey, size_t aMaxBytes, Presence aPresence)
  {
    const Json* found = Find(aKey);
    return found == nullptr ? "" : AsText(*found, aKey, aMaxBytes, aPresence);
  }

  std::string Id(const char* aKey)
  {
    return Text(aKey, kMaxIdBytes, Presence::kRequired);
  }

  std::string AsText(const Json& aValue,
                     const char* aKey,
                     size_t aMaxBytes,
                     Presence aPresence)
  {
    if (!aValue.is_string()) {
      Refuse(FailureKind::kMalformed, aKey, "not a text");
      return "";
    }
    const auto& text = aValue.get_ref<const std::string&>();
    if (text.size() > aMaxBytes) {
      Refuse(FailureKind::kTooLarge, aKey, "text too long");
      return "";
    }
    if (text.empty() && aPresence == Presence::kRequired) {
      Refuse(FailureKind::kMalformed, aKey, "empty");
    }
    return text;
  }

  // List returns the array at aKey, or an empty one after a failure.
  const Json& List(const char* aKey, size_t aMaxCount)
  {
    static const Json kEmpty = Json::array();
    const Json* found = Find(aKey);
    if (found == nullptr) {
      return kEmpty;
    }
    if (!found->is_array()) {
      Refuse(FailureKind::kMalformed, aKey, "not a list");
      return kEmpty;
    }
    if (found->size() > aMaxCount) {
      Refuse(FailureKind::kTooLarge, aKey, "too many entries");
      return kEmpty;
    }
    return *found;
  }

  // Map returns the value at aKey, or an empty map after a failure.
  const Json& Map(const char* aKey)
  {
    static const Json kEmpty = Json::object();
    const Json* found = Find(aKey);
    return found == nullptr ? kEmpty : *found;
  }

  void Refuse(FailureKind aKind, const char* aField, const char* aDetail)
  {
    Take(Fail(aKind, aField, aDetail));
  }

  // Take adds the first failure of aOther, which read a part of this map.
  void Take(const Reader& aOther)
  {
    if (aOther.mFailed) {
      Take(aOther.mFailure);
    }
  }

  bool Failed() const { return mFailed; }
  const Failure& FirstFailure() const { return mFailure; }

private:
  const Json* Find(const char* aKey)
  {
    if (mFailed) {
      return nullptr;
    }
    const auto found = mMap.find(aKey);
    if (found == mMap.end()) {
      Refuse(FailureKind::kMalformed, aKey, "missing");
      return nullptr;
    }
    return &*found;
  }

  void Take(const Failure& aFailure)
  {
    if (!mFailed) {
      mFailed = true;
      mFailure = aFailure;
    }
  }

  const Json& mMap;
  bool mFailed = false;
  Failure mFailure;
};

PeerBundleState ReadBundle(Reader& aReader)
{
  Reader map(aReader.Map(kBundle));
  PeerBundleState bundle;
  if (!aReader.Failed()) {
    bundle.mVersion = BundleVersion(map.Number(kVersion));
    bundle.mOffset = Offset(map.Number(kOffset));
    bundle.mDigest = map.Text(kDigest, kMaxIdBytes, Presence::kOptional);
    bundle.mDocument =
      map.Text(kDocument, kMaxDocumentBytes, Presence::kOptional);
  }
  aReader.Take(map);
  return bundle;
}

std::vector<PeerDomainState> ReadDomains(Reader& aReader)
{
  std::vector<PeerDomainState> domains;
  for (const Json& entry : aReader.List(kDomains, kMaxDomainFacts)) {
    Reader map(entry);
    PeerDomainState fact;
    fact.mDomain = DomainId(map.Id(kDomain));
    fact.mOffset = Offset(map.Number(kOffset));
    const auto state = kDomainStateNames.Find(map.Id(kState));
    if (!state) {
      map.Refuse(FailureKind::kMalformed, kState, "unknown name");
    }
    fact.mState = state.value_or(DomainState::kIn);
    aReader.Take(map);
    domains.push_back(std::move(fact));
  }
  return domains;
}

std::vector<ShardId> ReadOwned(Reader& aReader)
{
  std::vector<ShardId> owned;
  for (const Json& entry : aReader.List(kOwned, kMaxOwnedShards)) {
    owned.emplace_back(
      aReader.AsText(entry, kOwned, kMaxIdBytes, Presence::kRequired));
  }
  return owned;
}

std::vector<WorkerLoad> ReadLoad(Reader& aReader)
{
  std::vector<WorkerLoad> loads;
  for (const Json& entry : aReader.List(kLoad, kMaxWorkerLoads)) {
    Reader map(entry);
    WorkerLoad load;
    load.mWorker = WorkerId(map.Id(kWorker));
    load.mInFlight = static_cast<uint32_t>(
      map.Number(kInFlight, std::numeric_limits<uint32_t>::max()));
    aReader.Take(map);
    loads.push_back(std::move(load));
  }
  return loads;
}

Result<PeerStatus> ReadDigest(const Json& aRoot)
{
  Reader reader(aRoot);
  const auto kind = kPeerMessageKindNames.Find(reader.Id(kKind));
  if (!kind) {
    reader.Refuse(FailureKind::kMalformed, kKind, "unknown message kind");
  }
  PeerStatus digest;
  digest.mSender.mInstance = InstanceId(reader.Id(kInstance));
  digest.mSender.mIncarnation = Incarnation(reader.Number(kIncarnation));
  digest.mDomain = DomainId(reader.Id(kDomain));
  digest.mCallerEndpoint.mAddress =
    reader.Text(kAddress, kMaxAddressBytes, Presence::kOptional);
  digest.mCallerEndpoint.mPort = static_cast<uint16_t>(
    reader.Number(kPort, std::numeric_limits<uint16_t>::max()));
  digest.mSequence = reader.Number(kSequence);
  digest.mReady = reader.Flag(kReady);
  digest.mStopping = reader.Flag(kStopping);
  digest.mConfigHead = Offset(reader.Number(kConfigHead));
  digest.mConfigConfirmedAgeMs = static_cast<uint32_t>(
    reader.Number(kConfigAge, std::numeric_limits<uint32_t>::max()));
  digest.mBundle = ReadBundle(reader);
  digest.mDomains = ReadDomains(reader);
  digest.mOwned = ReadOwned(reader);
  digest.mLoad = ReadLoad(reader);
  if (reader.Failed()) {
    return reader.FirstFailure();
  }
  return digest;
}

Json ToJson(const PeerStatus& aDigest)
{
  Json root = Json::object();
  root[kKind] = kPeerMessageKindNames.Name(PeerMessageKind::kDigest);
  root[kInstance] = aDigest.mSender.mInstance.Text();
  root[kIncarnation] = aDigest.mSender.mIncarnation.Value();
  root[kDomain] = aDigest.mDomain.Text();
  root[kAddress] = aDigest.mCallerEndpoint.mAddress;
  root[kPort] = aDigest.mCallerEndpoint.mPort;
  root[kSequence] = aDigest.mSequence;
  root[kReady] = aDigest.mReady;
  root[kStopping] = aDigest.mStopping;
  root[kConfigHead] = aDigest.mConfigHead.Value();
  root[kConfigAge] = aDigest.mConfigConfirmedAgeMs;
  root[kBundle] = { { kVersion, aDigest.mBundle.mVersion.Value() },
                    { kOffset, aDigest.mBundle.mOffset.Value() },
                    { kDigest, aDigest.mBundle.mDigest },
                    { kDocument, aDigest.mBundle.mDocument } };
  root[kDomains] = Json::array();
  for (const PeerDomainState& fact : aDigest.mDomains) {
    root[kDomains].push_back({ { kDomain, fact.mDomain.Text() },
                               { kState, kDomainStateNames.Name(fact.mState) },
                               { kOffset, fact.mOffset.Value() } });
  }
  root[kOwned] = Json::array();
  for (const ShardId& shard : aDigest.mOwned) {
    root[kOwned].push_back(shard.Text());
  }
  root[kLoad] = Json::array();
  for (const WorkerLoad& load : aDigest.mLoad) {
    root[kLoad].push_back(
      { { kWorker, load.mWorker.Text() }, { kInFlight, load.mInFlight } });
  }
  return root;
}

// IsValidUtf8 tells whether every text in aRoot is UTF-8; the library checks
// this only when it writes JSON text.
bool IsValidUtf8(const Json& aRoot)
{
  try {
    static_cast<void>(aRoot.dump());
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
}

} // namespace

Result<std::string> EncodeDigest(const PeerStatus& aDigest)
{
  const Json root = ToJson(aDigest);
  const Result<PeerStatus> checked = ReadDigest(root);
  if (!checked) {
    return checked.error();
  }
  std::string frame;
  Json::to_cbor(root, frame);
  if (frame.size() > kMaxFrameBytes) {
    return Fail(FailureKind::kTooLarge, "frame", "frame too long");
  }
  return frame;
}

Result<PeerStatus> DecodeDigest(std::string_view aFrame)
{
  if (aFrame.size() > kMaxFrameBytes) {
    return Fail(FailureKind::kTooLarge, "frame", "frame too long");
  }
  const Result<void> structure = CheckCbor(aFrame, kMaxNestingDepth);
  if (!structure) {
    return structure.error();
  }
  constexpr bool kNoTrailingBytes = true;
  constexpr bool kThrow = false;
  const Json root =
    Json::from_cbor(aFrame.begin(), aFrame.end(), kNoTrailingBytes, kThrow);
  if (root.is_discarded()) {
    return Fail(FailureKind::kMalformed, "frame", "not CBOR");
  }
  if (!IsValidUtf8(root)) {
    return Fail(FailureKind::kMalformed, "frame", "text is not UTF-8");
  }
  return ReadDigest(root);
}

} // namespace mulberryvalve
