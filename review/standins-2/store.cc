#include "store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kPageItems = 500;
constexpr int64_t kRememberedAppends = 5;

std::string BigEndian(uint64_t aValue, int aBytes)
{
  std::string out;
  for (int shift = 8 * (aBytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>((aValue >> shift) & 0xff);
  }
  return out;
}

std::string Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aBytes.size(); at += 3) {
    const size_t left = std::min<size_t>(3, aBytes.size() - at);
    uint32_t group = 0;
    for (size_t index = 0; index < 3; index++) {
      const uint8_t byte =
        index < left ? static_cast<uint8_t>(aBytes[at + index]) : 0;
      group = (group << 8U) | byte;
    }
    for (size_t index = 0; index < 4; index++) {
      out += index <= left ? kDigits[(group >> (18 - 6 * index)) & 63U] : '=';
    }
  }
  return out;
}

int64_t NumberOr(const Request& aRequest, const char* aName, int64_t aDefault)
{
  const auto found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? aDefault : std::stoll(found->second);
}

void Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

std::string KeyedRecord(const std::string& aKey, const std::string& aValue)
{
  return std::string(1, static_cast<char>(aKey.size())) + aKey + aValue;
}

} // namespace

Store::Store(const std::string& aAddress, uint32_t aParts)
  : mParts(aParts)
  , mServer(
      std::make_unique<Server>(aAddress, 0, [this](const Request& aRequest) {
        return Handle(aRequest);
      }))
{
}

void Store::Put(const std::string& aTopic,
                const std::string& aKey,
                const std::string& aValue)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mTopics[aTopic + "/0"].mRecords.push_back(KeyedRecord(aKey, aValue));
  mAppended.notify_all();
}

Response Store::Handle(const Request& aRequest)
{
  Sleep(mDelayMs);
  if (aRequest.mPath == "/v1/log-append") {
    return Append(aRequest);
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

Store::Part& Store::PartOf(const Request& aRequest)
{
  return mTopics[aRequest.mQuery.at("topic") + "/" +
                 aRequest.mQuery.at("part")];
}

Response Store::Append(const Request& aRequest)
{
  std::vector<std::string> records;
  const std::string& body = aRequest.mBody;
  for (size_t at = 0; at + 4 <= body.size();) {
    uint32_t length = 0;
    for (size_t index = 0; index < 4; index++) {
      length = (length << 8U) | static_cast<uint8_t>(body[at + index]);
    }
    records.push_back(body.substr(at + 4, length));
    at += 4 + length;
  }
  std::lock_guard<std::mutex> lock(mMutex);
  Part& part = PartOf(aRequest);
  if (aRequest.mQuery.count("at") != 0 &&
      NumberOr(aRequest, "at", 0) !=
        static_cast<int64_t>(part.mRecords.size())) {
    return Response{ 412, json{ { "end", part.mRecords.size() } }.dump() };
  }
  const int64_t epoch = NumberOr(aRequest, "epoch", -1);
  const int64_t sequence = NumberOr(aRequest, "sequence", 0);
  if (epoch >= 0) {
    if (epoch < part.mEpoch) {
      return Response{ 409, json{ { "reason", "fenced" } }.dump() };
    }
    if (epoch == part.mEpoch) {
      for (const Done& done : part.mDone) {
        if (done.mSequence == sequence) {
          return Response{ 200, done.mBody };
        }
      }
      if (sequence != part.mSequence + 1) {
        return Response{
          409,
          json{ { "reason", "seq" }, { "sequence", part.mSequence + 1 } }.dump()
        };
      }
    } else {
      part.mDone.clear();
    }
    part.mEpoch = epoch;
    part.mSequence = sequence;
  }
  const size_t offset = part.mRecords.size();
  for (std::string& record : records) {
    part.mRecords.push_back(std::move(record));
  }
  const std::string answer =
    json{ { "offset", offset }, { "end", part.mRecords.size() } }.dump();
  if (epoch >= 0) {
    part.mDone.push_back(Done{ sequence, answer });
    if (part.mDone.size() > kRememberedAppends) {
      part.mDone.pop_front();
    }
  }
  mAppended.notify_all();
  return Response{ 200, answer };
}

Response Store::Read(const Request& aRequest)
{
  const auto from = static_cast<size_t>(NumberOr(aRequest, "from", 0));
  const auto most =
    static_cast<size_t>(NumberOr(aRequest, "max_kilobytes", 1024)) * 1024;
  const auto until =
    Clock::now() + std::chrono::milliseconds(NumberOr(aRequest, "wait_ms", 0));
  std::unique_lock<std::mutex> lock(mMutex);
  mAppended.wait_until(
    lock, until, [&] { return PartOf(aRequest).mRecords.size() > from; });
  const Part& part = PartOf(aRequest);
  std::string body = BigEndian(part.mRecords.size(), 8) + BigEndian(0, 8);
  for (size_t at = from; at < part.mRecords.size(); at++) {
    const std::string& record = part.mRecords[at];
    if (body.size() + record.size() > most) {
      break;
    }
    body += BigEndian(record.size(), 4) + record;
  }
  return Response{ 200, body };
}

Response Store::Newest(const Request& aRequest)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const Part& part = PartOf(aRequest);
  std::map<std::string, std::pair<std::string, size_t>> newest;
  for (size_t at = 0; at < part.mRecords.size(); at++) {
    const std::string& record = part.mRecords[at];
    const auto keyBytes = static_cast<uint8_t>(record[0]);
    const std::string key = record.substr(1, keyBytes);
    const std::string value = record.substr(1 + keyBytes);
    if (value.empty()) {
      newest.erase(key);
    } else {
      newest[key] = { value, at };
    }
  }
  const auto after = aRequest.mQuery.find("after");
  auto entry = after == aRequest.mQuery.end()
                 ? newest.begin()
                 : newest.upper_bound(after->second);
  json items = json::array();
  for (; entry != newest.end() && items.size() < kPageItems; ++entry) {
    items.push_back({ { "key", entry->first },
                      { "value", Base64(entry->second.first) },
                      { "offset", entry->second.second } });
  }
  return Response{ 200,
                   json{ { "items", items },
                         { "more", entry != newest.end() },
                         { "end", part.mRecords.size() } }
                     .dump() };
}

void Store::Expire(Group& aGroup)
{
  const size_t before = aGroup.mMembers.size();
  for (auto member = aGroup.mMembers.begin();
       member != aGroup.mMembers.end();) {
    member = member->second.mExpiresAt < NowMs() ? aGroup.mMembers.erase(member)
                                                 : std::next(member);
  }
  if (aGroup.mMembers.size() != before) {
    Retarget(aGroup);
  }
}

// Deals the partitions evenly among the members.
void Store::Retarget(Group& aGroup)
{
  aGroup.mGeneration++;
  aGroup.mHolder.resize(mParts);
  aGroup.mTarget.assign(mParts, "");
  std::vector<std::string> names;
  for (const auto& [name, member] : aGroup.mMembers) {
    names.push_back(name);
  }
  for (uint32_t part = 0; part < mParts; part++) {
    if (!names.empty()) {
      aGroup.mTarget[part] = names[part * names.size() / mParts];
    }
    if (aGroup.mMembers.count(aGroup.mHolder[part]) == 0) {
      aGroup.mHolder[part] = aGroup.mTarget[part];
    }
  }
}

Response Store::Join(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::string name = body.at("member");
  std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[body.at("group").get<std::string>()];
  group.mTopic = body.at("topics").at(0);
  Expire(group);
  const bool isNew = group.mMembers.count(name) == 0;
  group.mMembers[name].mExpiresAt = NowMs() + body.at("ttl_ms").get<int64_t>();
  if (isNew) {
    Retarget(group);
  }
  const bool isCurrent =
    body.at("generation").get<int64_t>() >= group.mGeneration;
  json parts = json::array();
  for (uint32_t part = 0; part < mParts; part++) {
    if (group.mHolder[part] == name && group.mTarget[part] != name &&
        isCurrent) {
      group.mHolder[part] = group.mTarget[part];
    }
    if (group.mHolder[part] == name && group.mTarget[part] == name) {
      parts.push_back({ group.mTopic, part, 0 });
    }
  }
  return Response{
    200, json{ { "generation", group.mGeneration }, { "parts", parts } }.dump()
  };
}

Response Store::Leave(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[body.at("group").get<std::string>()];
  if (group.mMembers.erase(body.at("member").get<std::string>()) != 0) {
    Retarget(group);
  }
  return Response{ 200, "{}" };
}

std::string Store::Holder(const std::string& aGroup, uint32_t aPart)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[aGroup];
  Expire(group);
  return aPart < group.mHolder.size() ? group.mHolder[aPart] : "";
}

Response Store::Owners(const Request& aRequest)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[aRequest.mQuery.at("group")];
  Expire(group);
  json parts = json::array();
  for (uint32_t part = 0; part < group.mHolder.size(); part++) {
    if (!group.mHolder[part].empty()) {
      parts.push_back({ group.mTopic, part, group.mHolder[part], 0 });
    }
  }
  return Response{ 200, json{ { "parts", parts } }.dump() };
}

} // namespace review
