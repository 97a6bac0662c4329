#include "mulberryvalve/adapters/ws_peer/peer_status_codec.h"

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

// MapReader reads the fields of one map and records the first failure. Reads
// after a failure return default values.
class MapReader
{
public:
  explicit MapReader(const Json& aMap)
    : mMap(aMap)
  {
    if (!mMap.is_object()) {
      SetFailure(FailureKind::kMalformed, "frame", "not a map");
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
      SetFailure(FailureKind::kMalformed, aKey, "not an unsigned integer");
      return 0;
    }
    const auto value = found->get<uint64_t>();
    if (value > aMax) {
      SetFailure(FailureKind::kMalformed, aKey, "out of range");
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
      SetFailure(FailureKind::kMalformed, aKey, "not a boolean");
      return false;
    }
    return found->get<bool>();
  }

  std::string Text(const char* aKey, size_t aMaxBytes, Presence aPresence)
  {
    const Json* found = Find(aKey);
    return found == nullptr ? ""
                            : CheckedText(*found, aKey, aMaxBytes, aPresence);
  }

  std::string Id(const char* aKey)
  {
    return Text(aKey, kMaxIdBytes, Presence::kRequired);
  }

  std::string CheckedText(const Json& aValue,
                          const char* aKey,
                          size_t aMaxBytes,
                          Presence aPresence)
  {
    if (!aValue.is_string()) {
      SetFailure(FailureKind::kMalformed, aKey, "not a text");
      return "";
    }
    const auto& text = aValue.get_ref<const std::string&>();
    if (text.size() > aMaxBytes) {
      SetFailure(FailureKind::kTooLarge, aKey, "text too long");
      return "";
    }
    if (text.empty() && aPresence == Presence::kRequired) {
      SetFailure(FailureKind::kMalformed, aKey, "empty");
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
      SetFailure(FailureKind::kMalformed, aKey, "not a list");
      return kEmpty;
    }
    if (found->size() > aMaxCount) {
      SetFailure(FailureKind::kTooLarge, aKey, "too many entries");
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

  void SetFailure(FailureKind aKind, const char* aField, const char* aDetail)
  {
    TakeFirstFailure(Fail(aKind, aField, aDetail));
  }

  // TakeFirstFailure records the failure of aOther, the reader of a nested
  // map, if this reader has none yet.
  void TakeFirstFailure(const MapReader& aOther)
  {
    if (aOther.mFailed) {
      TakeFirstFailure(aOther.mFailure);
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
      SetFailure(FailureKind::kMalformed, aKey, "missing");
      return nullptr;
    }
    return &*found;
  }

  void TakeFirstFailure(const Failure& aFailure)
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

PeerBundleState ReadBundle(MapReader& aReader)
{
  MapReader map(aReader.Map(kBundle));
  PeerBundleState bundle;
  if (!aReader.Failed()) {
    bundle.mVersion = BundleVersion(map.Number(kVersion));
    bundle.mOffset = Offset(map.Number(kOffset));
    bundle.mDigest = map.Text(kDigest, kMaxIdBytes, Presence::kOptional);
    bundle.mDocument =
      map.Text(kDocument, kMaxDocumentBytes, Presence::kOptional);
  }
  aReader.TakeFirstFailure(map);
  return bundle;
}

std::vector<PeerDomainState> ReadDomains(MapReader& aReader)
{
  std::vector<PeerDomainState> domains;
  for (const Json& entry : aReader.List(kDomains, kMaxDomainStates)) {
    MapReader map(entry);
    PeerDomainState domain;
    domain.mDomain = DomainId(map.Id(kDomain));
    domain.mOffset = Offset(map.Number(kOffset));
    const auto state = kDomainStateNames.Find(map.Id(kState));
    if (!state) {
      map.SetFailure(FailureKind::kMalformed, kState, "unknown name");
    }
    domain.mState = state.value_or(DomainState::kIn);
    aReader.TakeFirstFailure(map);
    domains.push_back(std::move(domain));
  }
  return domains;
}

std::vector<ShardId> ReadOwnedShards(MapReader& aReader)
{
  std::vector<ShardId> owned;
  for (const Json& entry : aReader.List(kOwned, kMaxOwnedShards)) {
    owned.emplace_back(
      aReader.CheckedText(entry, kOwned, kMaxIdBytes, Presence::kRequired));
  }
  return owned;
}

std::vector<WorkerLoad> ReadWorkerLoads(MapReader& aReader)
{
  std::vector<WorkerLoad> loads;
  for (const Json& entry : aReader.List(kLoad, kMaxWorkerLoads)) {
    MapReader map(entry);
    WorkerLoad load;
    load.mWorker = WorkerId(map.Id(kWorker));
    load.mInFlight = static_cast<uint32_t>(
      map.Number(kInFlight, std::numeric_limits<uint32_t>::max()));
    aReader.TakeFirstFailure(map);
    loads.push_back(std::move(load));
  }
  return loads;
}

Result<PeerStatus> ReadStatus(const Json& aRoot)
{
  MapReader reader(aRoot);
  const auto kind = kPeerMessageKindNames.Find(reader.Id(kKind));
  if (!kind) {
    reader.SetFailure(FailureKind::kMalformed, kKind, "unknown message kind");
  }
  PeerStatus status;
  status.mSender.mInstance = InstanceId(reader.Id(kInstance));
  status.mSender.mIncarnation = Incarnation(reader.Number(kIncarnation));
  status.mDomain = DomainId(reader.Id(kDomain));
  status.mCallerEndpoint.mAddress =
    reader.Text(kAddress, kMaxAddressBytes, Presence::kOptional);
  status.mCallerEndpoint.mPort = static_cast<uint16_t>(
    reader.Number(kPort, std::numeric_limits<uint16_t>::max()));
  status.mSequence = reader.Number(kSequence);
  status.mReady = reader.Flag(kReady);
  status.mStopping = reader.Flag(kStopping);
  status.mConfigHead = Offset(reader.Number(kConfigHead));
  status.mConfigConfirmedAgeMs = static_cast<uint32_t>(
    reader.Number(kConfigAge, std::numeric_limits<uint32_t>::max()));
  status.mBundle = ReadBundle(reader);
  status.mDomains = ReadDomains(reader);
  status.mOwned = ReadOwnedShards(reader);
  status.mLoad = ReadWorkerLoads(reader);
  if (reader.Failed()) {
    return reader.FirstFailure();
  }
  return status;
}

Json ToJson(const PeerStatus& aStatus)
{
  Json root = Json::object();
  root[kKind] = kPeerMessageKindNames.Name(PeerMessageKind::kDigest);
  root[kInstance] = aStatus.mSender.mInstance.Text();
  root[kIncarnation] = aStatus.mSender.mIncarnation.Value();
  root[kDomain] = aStatus.mDomain.Text();
  root[kAddress] = aStatus.mCallerEndpoint.mAddress;
  root[kPort] = aStatus.mCallerEndpoint.mPort;
  root[kSequence] = aStatus.mSequence;
  root[kReady] = aStatus.mReady;
  root[kStopping] = aStatus.mStopping;
  root[kConfigHead] = aStatus.mConfigHead.Value();
  root[kConfigAge] = aStatus.mConfigConfirmedAgeMs;
  root[kBundle] = { { kVersion, aStatus.mBundle.mVersion.Value() },
                    { kOffset, aStatus.mBundle.mOffset.Value() },
                    { kDigest, aStatus.mBundle.mDigest },
                    { kDocument, aStatus.mBundle.mDocument } };
  root[kDomains] = Json::array();
  for (const PeerDomainState& domain : aStatus.mDomains) {
    root[kDomains].push_back(
      { { kDomain, domain.mDomain.Text() },
        { kState, kDomainStateNames.Name(domain.mState) },
        { kOffset, domain.mOffset.Value() } });
  }
  root[kOwned] = Json::array();
  for (const ShardId& shard : aStatus.mOwned) {
    root[kOwned].push_back(shard.Text());
  }
  root[kLoad] = Json::array();
  for (const WorkerLoad& load : aStatus.mLoad) {
    root[kLoad].push_back(
      { { kWorker, load.mWorker.Text() }, { kInFlight, load.mInFlight } });
  }
  return root;
}

// IsValidUtf8 returns whether every text in aRoot is valid UTF-8. It dumps
// aRoot as JSON, since the library checks UTF-8 only then.
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

Result<std::string> EncodePeerStatus(const PeerStatus& aStatus)
{
  const Json root = ToJson(aStatus);
  const Result<PeerStatus> checked = ReadStatus(root);
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

Result<PeerStatus> DecodePeerStatus(std::string_view aFrame)
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
  return ReadStatus(root);
}

} // namespace mulberryvalve
