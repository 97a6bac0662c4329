#include "store.h"

#include <algorithm>

namespace review {
namespace {

using nlohmann::json;

constexpr Ms kAppendTime{ 3 };
constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr size_t kKeptAnswers = 5;
constexpr size_t kPageItems = 500;
constexpr size_t kMaxReadBytes = 1024 * 1024;

std::string BigEndian(uint64_t aValue, size_t aBytes)
{
  std::string out;
  for (size_t index = aBytes; index > 0; index--) {
    out += static_cast<char>((aValue >> (8 * (index - 1))) & 0xffU);
  }
  return out;
}

uint64_t FromBigEndian(const std::string& aText, size_t aAt, size_t aBytes)
{
  uint64_t value = 0;
  for (size_t index = 0; index < aBytes; index++) {
    value = value << 8U | static_cast<uint8_t>(aText[aAt + index]);
  }
  return value;
}

std::string Base64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aText.size(); at += 3) {
    const size_t count = std::min<size_t>(3, aText.size() - at);
    uint32_t group = 0;
    for (size_t index = 0; index < 3; index++) {
      group = group << 8U |
              (index < count ? static_cast<uint8_t>(aText[at + index]) : 0U);
    }
    for (size_t index = 0; index < 4; index++) {
      out += index <= count ? kDigits[group >> (6 * (3 - index)) & 63U] : '=';
    }
  }
  return out;
}

uint64_t NumberOf(const Request& aRequest,
                  const std::string& aName,
                  uint64_t aDefault)
{
  const auto found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? aDefault : std::stoull(found->second);
}

std::string TextOf(const Request& aRequest, const std::string& aName)
{
  const auto found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? "" : found->second;
}

bool IsKeyed(const std::string& aTopic)
{
  return aTopic.rfind("keyed.", 0) == 0;
}

} // namespace

Store::Store(const std::string& aAddress)
  : mServer(aAddress,
            [this](const Request& aRequest) { return Handle(aRequest); })
{
  mLateThread = std::thread([this] { CarryOutLate(); });
}

Store::~Store()
{
  mServer.Drop();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mAppended.notify_all();
  }
  mLateThread.join();
}

void Store::LoseAppends(const std::string& aTopic,
                        const std::string& aText,
                        std::vector<Ms> aDelays)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLostTopic = aTopic;
  mLostText = aText;
  mDelays = std::move(aDelays);
}

void Store::KeepAppends()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLostTopic.clear();
}

// Returns whether a call gets no answer, and has it carried out later.
bool Store::IsLost(const Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const bool isLost = !mLostTopic.empty() &&
                      TextOf(aRequest, "topic") == mLostTopic &&
                      aRequest.mBody.find(mLostText) != std::string::npos;
  if (!isLost) {
    return false;
  }
  mLostAppends++;
  if (!mDelays.empty()) {
    mLate.emplace_back(Steady::now() + mDelays.front(), aRequest);
    mDelays.erase(mDelays.begin());
  }
  return true;
}

void Store::CarryOutLate()
{
  constexpr Ms kInterval{ 20 };
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mAppended.wait_for(lock, kInterval);
    for (size_t index = 0; index < mLate.size(); index++) {
      if (mLate[index].first > Steady::now()) {
        continue;
      }
      const Request request = mLate[index].second;
      mLate.erase(mLate.begin() + static_cast<long>(index));
      lock.unlock();
      Append(request);
      lock.lock();
      break;
    }
  }
}

void Store::Put(const std::string& aTopic,
                const std::string& aKey,
                const std::optional<std::string>& aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  AddRecord(mPartitions[{ aTopic, 0 }],
            true,
            BigEndian(aKey.size(), 1) + aKey + aValue.value_or(""));
  mAppended.notify_all();
}

Response Store::Handle(const Request& aRequest)
{
  mWrites += aRequest.mMethod == "POST" ? 1 : 0;
  if (aRequest.mPath == "/v1/log-append") {
    return IsLost(aRequest) ? Response{ kNoAnswer, "" } : Append(aRequest);
  }
  if (aRequest.mPath == "/v1/log-read") {
    return Read(aRequest);
  }
  if (aRequest.mPath == "/v1/log-newest") {
    return Newest(aRequest);
  }
  if (aRequest.mPath == "/v1/log-join") {
    return Join(aRequest);
  }
  if (aRequest.mPath == "/v1/log-leave") {
    return Leave(aRequest);
  }
  if (aRequest.mPath == "/v1/log-owners") {
    return Owners(aRequest);
  }
  return Response{ 404, "{}" };
}

Store::Partition& Store::PartitionOf(const Request& aRequest)
{
  return mPartitions[{ TextOf(aRequest, "topic"),
                       static_cast<uint32_t>(NumberOf(aRequest, "part", 0)) }];
}

void Store::AddRecord(Partition& aPartition, bool aIsKeyed, std::string aRecord)
{
  if (aIsKeyed && !aRecord.empty()) {
    const size_t length = static_cast<uint8_t>(aRecord[0]);
    const std::string key = aRecord.substr(1, length);
    const std::string value = aRecord.substr(1 + length);
    if (value.empty()) {
      aPartition.mNewest.erase(key);
    } else {
      aPartition.mNewest[key] = { aPartition.mRecords.size(), value };
    }
  }
  aPartition.mRecords.push_back(std::move(aRecord));
}

Response Store::Append(const Request& aRequest)
{
  std::this_thread::sleep_for(kAppendTime);
  const std::lock_guard<std::mutex> lock(mMutex);
  Partition& partition = PartitionOf(aRequest);
  const std::string name = TextOf(aRequest, "producer");
  const uint64_t epoch = NumberOf(aRequest, "epoch", 0);
  const uint64_t sequence = NumberOf(aRequest, "sequence", 0);
  Producer* producer = name.empty() ? nullptr : &partition.mProducers[name];
  if (producer != nullptr) {
    if (epoch < producer->mEpoch) {
      return Response{ 409, json{ { "reason", "fenced" } }.dump() };
    }
    if (epoch == producer->mEpoch && producer->mLast > 0) {
      for (const auto& [number, answer] : producer->mAnswers) {
        if (number == sequence) {
          return answer;
        }
      }
      if (sequence != producer->mLast + 1) {
        return Response{ 409,
                         json{ { "reason", "seq" },
                               { "sequence", producer->mLast + 1 } }
                           .dump() };
      }
    }
    if (epoch > producer->mEpoch) {
      *producer = Producer{ epoch, 0, {} };
    }
  }
  const uint64_t offset = partition.mRecords.size();
  const bool isKeyed = IsKeyed(TextOf(aRequest, "topic"));
  size_t at = 0;
  while (at + kLengthBytes <= aRequest.mBody.size()) {
    const uint64_t length = FromBigEndian(aRequest.mBody, at, kLengthBytes);
    AddRecord(
      partition, isKeyed, aRequest.mBody.substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
  }
  const Response answer{
    200,
    json{ { "offset", offset }, { "end", partition.mRecords.size() } }.dump()
  };
  if (producer != nullptr) {
    producer->mLast = sequence;
    producer->mAnswers.emplace_back(sequence, answer);
    if (producer->mAnswers.size() > kKeptAnswers) {
      producer->mAnswers.pop_front();
    }
  }
  mAppended.notify_all();
  return answer;
}

Response Store::Read(const Request& aRequest)
{
  std::unique_lock<std::mutex> lock(mMutex);
  Partition& partition = PartitionOf(aRequest);
  const uint64_t from = NumberOf(aRequest, "from", 0);
  mAppended.wait_for(
    lock, Ms(NumberOf(aRequest, "wait_ms", 0)), [&partition, from] {
      return partition.mRecords.size() > from;
    });
  Response answer;
  answer.mType = "application/octet-stream";
  answer.mBody =
    BigEndian(partition.mRecords.size(), kOffsetBytes) + BigEndian(0, 8);
  for (uint64_t offset = from; offset < partition.mRecords.size() &&
                               answer.mBody.size() < kMaxReadBytes;
       offset++) {
    const std::string& record = partition.mRecords[offset];
    answer.mBody += BigEndian(record.size(), kLengthBytes) + record;
  }
  return answer;
}

Response Store::Newest(const Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Partition& partition = PartitionOf(aRequest);
  json items = json::array();
  auto entry = aRequest.mQuery.count("after") == 0
                 ? partition.mNewest.begin()
                 : partition.mNewest.upper_bound(TextOf(aRequest, "after"));
  for (; entry != partition.mNewest.end() && items.size() < kPageItems;
       ++entry) {
    items.push_back({ { "key", entry->first },
                      { "value", Base64(entry->second.second) },
                      { "offset", entry->second.first } });
  }
  return Response{ 200,
                   json{ { "items", std::move(items) },
                         { "more", entry != partition.mNewest.end() },
                         { "end", partition.mRecords.size() } }
                     .dump() };
}

// Removes the members that have sent nothing for their time.
void Store::Expire(Group& aGroup)
{
  const Steady::time_point now = Steady::now();
  bool hasChanged = false;
  for (auto entry = aGroup.mMembers.begin(); entry != aGroup.mMembers.end();) {
    const bool isOver = entry->second.mExpiresAt < now;
    hasChanged = hasChanged || isOver;
    entry = isOver ? aGroup.mMembers.erase(entry) : std::next(entry);
  }
  if (hasChanged) {
    Deal(aGroup);
  }
}

// Deals the partitions evenly, and moves as few as possible.
void Store::Deal(Group& aGroup)
{
  aGroup.mGeneration++;
  if (aGroup.mMembers.empty()) {
    std::fill(aGroup.mTargets.begin(), aGroup.mTargets.end(), "");
    Settle(aGroup);
    return;
  }
  const size_t most =
    (kParts + aGroup.mMembers.size() - 1) / aGroup.mMembers.size();
  std::map<std::string, size_t> counts;
  for (uint32_t part = 0; part < kParts; part++) {
    std::string& target = aGroup.mTargets[part];
    const bool stays =
      aGroup.mMembers.count(target) != 0 && counts[target] < most;
    target = stays ? target : "";
    if (stays) {
      counts[target]++;
    }
  }
  for (std::string& target : aGroup.mTargets) {
    if (!target.empty()) {
      continue;
    }
    for (const auto& [name, member] : aGroup.mMembers) {
      const size_t count = counts[name];
      if (target.empty() || count < counts[target]) {
        target = name;
      }
    }
    counts[target]++;
  }
  Settle(aGroup);
}

// Gives each partition that its holder has let go to the one that is to have
// it.
void Store::Settle(Group& aGroup)
{
  for (uint32_t part = 0; part < kParts; part++) {
    const auto holder = aGroup.mMembers.find(aGroup.mHolders[part]);
    const bool isHeld = holder != aGroup.mMembers.end() &&
                        aGroup.mHolders[part] != aGroup.mTargets[part] &&
                        holder->second.mKnown < aGroup.mGeneration;
    if (!isHeld) {
      aGroup.mHolders[part] = aGroup.mTargets[part];
    }
  }
}

Response Store::Join(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[body.at("group").get<std::string>()];
  const auto name = body.at("member").get<std::string>();
  group.mTopic = body.at("topics").at(0).get<std::string>();
  Expire(group);
  const bool isNew = group.mMembers.count(name) == 0;
  Member& member = group.mMembers[name];
  member.mExpiresAt = Steady::now() + Ms(body.at("ttl_ms").get<int64_t>());
  member.mKnown = body.value("generation", uint64_t{ 0 });
  if (isNew) {
    Deal(group);
  }
  Settle(group);
  json parts = json::array();
  for (uint32_t part = 0; part < kParts; part++) {
    if (group.mHolders[part] == name && group.mTargets[part] == name) {
      parts.push_back({ group.mTopic, part, 0 });
    }
  }
  return Response{ 200,
                   json{ { "generation", group.mGeneration },
                         { "parts", std::move(parts) } }
                     .dump() };
}

Response Store::Leave(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[body.at("group").get<std::string>()];
  Expire(group);
  if (group.mMembers.erase(body.at("member").get<std::string>()) != 0) {
    Deal(group);
  }
  return Response{ 200, "{}" };
}

Response Store::Owners(const Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[TextOf(aRequest, "group")];
  Expire(group);
  json parts = json::array();
  for (uint32_t part = 0; part < kParts; part++) {
    if (!group.mHolders[part].empty()) {
      parts.push_back({ group.mTopic, part, group.mHolders[part], 0 });
    }
  }
  return Response{ 200, json{ { "parts", std::move(parts) } }.dump() };
}

} // namespace review
