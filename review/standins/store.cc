#include "store.h"

#include <algorithm>

namespace review {
int64_t NowMs()
{
  static const Steady::time_point begin = Steady::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                               begin)
    .count();
}

namespace {

using nlohmann::json;

constexpr size_t kThreads = 96;
constexpr size_t kMaxPartitionBytes = 200U * 1024 * 1024;
constexpr size_t kMaxItems = 500;
constexpr size_t kMaxPageBytes = 1024 * 1024;
constexpr size_t kRememberedAnswers = 5;
constexpr std::chrono::microseconds kAppendTime{ 3000 };
// "4 ms an answer", less what an append takes.
constexpr std::chrono::milliseconds kAnswerTime{ 1 };
constexpr int64_t kNoAnswerMs = 2500;
// part_mb_per_s of 20: 20 bytes a microsecond.
constexpr size_t kBytesPerMicrosecond = 20;

std::string BigEndian(uint64_t aValue, int aBytes)
{
  std::string out;
  for (int byte = aBytes - 1; byte >= 0; byte--) {
    out += static_cast<char>((aValue >> (8 * byte)) & 0xff);
  }
  return out;
}

uint64_t ParseBigEndian(const std::string& aText, size_t aAt, int aBytes)
{
  uint64_t value = 0;
  for (int byte = 0; byte < aBytes; byte++) {
    value = (value << 8) | static_cast<uint8_t>(aText[aAt + byte]);
  }
  return value;
}

uint64_t NumberParam(const httplib::Request& aRequest,
                     const char* aName,
                     uint64_t aDefault)
{
  return aRequest.has_param(aName)
           ? std::stoull(aRequest.get_param_value(aName))
           : aDefault;
}

void Send(httplib::Response& aResponse, int aStatus, const json& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), "application/json");
}

std::string Base64(const std::string& aBytes)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aBytes.size(); at += 3) {
    const size_t count = std::min<size_t>(3, aBytes.size() - at);
    uint32_t group = 0;
    for (size_t byte = 0; byte < 3; byte++) {
      group <<= 8;
      group |= byte < count ? static_cast<uint8_t>(aBytes[at + byte]) : 0;
    }
    for (size_t digit = 0; digit < 4; digit++) {
      out += digit <= count ? kDigits[(group >> (18 - 6 * digit)) & 0x3f] : '=';
    }
  }
  return out;
}

void WaitWhile(int64_t aMs, const std::function<bool()>& aCondition)
{
  const int64_t until = NowMs() + aMs;
  while (NowMs() < until && aCondition()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

bool IsKeyed(const std::string& aTopic)
{
  return aTopic.rfind("keyed.", 0) == 0;
}

} // namespace

Store::Store(std::string aAddress, Record& aRecord)
  : mAddress(std::move(aAddress))
  , mRecord(aRecord)
{
  mServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  mServer.set_tcp_nodelay(true);
  mServer.set_keep_alive_max_count(1000000);
  mServer.set_keep_alive_timeout(30);
  const auto handle = [this](Handler aHandler) {
    return [this, aHandler](const httplib::Request& aRequest,
                            httplib::Response& aResponse) {
      Handle(aHandler, aRequest, aResponse);
    };
  };
  mServer.Post("/v1/log-append", handle(&Store::Append));
  mServer.Get("/v1/log-read", handle(&Store::Read));
  mServer.Get("/v1/log-newest", handle(&Store::ReadNewest));
  mServer.Post("/v1/log-join", handle(&Store::Join));
  mServer.Post("/v1/log-leave", handle(&Store::Leave));
  mServer.Get("/v1/log-owners", handle(&Store::Owners));
  mPort = mServer.bind_to_any_port(mAddress);
  mThread = std::thread([this] { mServer.listen_after_bind(); });
}

Store::~Store()
{
  mStopping = true;
  mServer.stop();
  mThread.join();
  for (std::thread& call : mLateCalls) {
    call.join();
  }
}

void Store::Handle(Handler aHandler,
                   const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  std::this_thread::sleep_for(kAnswerTime);
  if (Refuse(aRequest, aResponse)) {
    return;
  }
  if (!IsLost(aRequest)) {
    (this->*aHandler)(aRequest, aResponse);
    return;
  }
  CarryOutLater(aHandler, aRequest);
  // No answer: the caller gives up and closes the connection before this.
  WaitWhile(kNoAnswerMs, [this] { return !mStopping; });
  aResponse.status = 500;
}

bool Store::IsLost(const httplib::Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aRequest.method != "POST") {
    return false;
  }
  if (aRequest.get_param_value("topic") == "keyed.progress" &&
      aRequest.has_param("epoch")) {
    const std::string epoch = aRequest.get_param_value("epoch");
    const bool isOwner = mLateWrites && mLateWrites->mEpoch == epoch;
    mLastEpoch = epoch;
    mWriteCounts.mCalls++;
    mWriteCounts.mLost += isOwner ? 1 : 0;
    return isOwner;
  }
  mWriteCounts.mCalls++;
  if (!mLateWrites || aRequest.path != "/v1/log-join") {
    return false;
  }
  const json body = json::parse(aRequest.body);
  const bool isOwner = body.at("member") == mLateWrites->mMember;
  mWriteCounts.mLost += isOwner ? 1 : 0;
  return isOwner;
}

void Store::CarryOutLater(Handler aHandler, const httplib::Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const int64_t delay = mLateWrites ? mLateWrites->mDelayMs : 0;
  mRecord.Line("store: no answer to " + aRequest.path + " of the owner");
  mLateCalls.emplace_back([this, aHandler, delay, call = aRequest] {
    WaitWhile(delay, [this] { return !mStopping; });
    httplib::Response unread;
    if (!mStopping && !Refuse(call, unread)) {
      (this->*aHandler)(call, unread);
      mRecord.Line("store: late " + call.path + " was answered " +
                   std::to_string(unread.status));
    }
  });
}

std::string Store::BeginLateWrites(int64_t aDelayMs)
{
  const std::string member = Holder("owners-0");
  const std::lock_guard<std::mutex> lock(mMutex);
  mLateWrites = LateWrites{ member, mLastEpoch, aDelayMs };
  mWriteCounts = WriteCounts();
  return member;
}

void Store::EndLateWrites()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLateWrites.reset();
}

Store::WriteCounts Store::TakeWriteCounts()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mWriteCounts;
}

std::string Store::Endpoint() const
{
  return mAddress + ":" + std::to_string(mPort);
}

void Store::SetTopicDown(const std::string& aTopic)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTopicDown = aTopic;
}

bool Store::Refuse(const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  bool refused = mDown;
  if (aRequest.has_param("topic")) {
    const std::lock_guard<std::mutex> lock(mMutex);
    refused = refused || (!mTopicDown.empty() &&
                          aRequest.get_param_value("topic") == mTopicDown);
  }
  if (refused) {
    Send(aResponse, 503, json{ { "reason", "down" } });
  }
  return refused;
}

// Precondition: the caller holds mMutex.
Store::Partition& Store::PartitionOf(const std::string& aTopic, uint32_t aPart)
{
  auto& partition = mPartitions[{ aTopic, aPart }];
  if (!partition) {
    partition = std::make_unique<Partition>();
  }
  return *partition;
}

// Precondition: the caller holds mMutex.
void Store::AddRecord(const std::string& aTopic,
                      Partition& aPartition,
                      const std::string& aBytes)
{
  const uint64_t offset = aPartition.End();
  aPartition.mRecords.push_back(aBytes);
  aPartition.mBytes += aBytes.size();
  while (aPartition.mBytes > kMaxPartitionBytes) {
    aPartition.mBytes -= aPartition.mRecords.front().size();
    aPartition.mRecords.pop_front();
    aPartition.mFirst++;
  }
  if (!IsKeyed(aTopic) || aBytes.empty()) {
    return;
  }
  const size_t keyBytes = static_cast<uint8_t>(aBytes[0]);
  const std::string key = aBytes.substr(1, keyBytes);
  if (aBytes.size() == 1 + keyBytes) {
    aPartition.mNewest.erase(key);
  } else {
    aPartition.mNewest[key] = Newest{ aBytes.substr(1 + keyBytes), offset };
  }
}

void Store::Put(const std::string& aTopic,
                const std::string& aKey,
                const std::optional<std::string>& aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  AddRecord(aTopic,
            PartitionOf(aTopic, 0),
            BigEndian(aKey.size(), 1) + aKey + aValue.value_or(""));
  mAppended.notify_all();
}

void Store::Append(const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const std::string topic = aRequest.get_param_value("topic");
  std::vector<std::string> records;
  const std::string& body = aRequest.body;
  for (size_t at = 0; at + 4 <= body.size();) {
    const uint64_t length = ParseBigEndian(body, at, 4);
    records.push_back(body.substr(at + 4, length));
    at += 4 + length;
  }
  Partition* partition = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    partition = &PartitionOf(
      topic, static_cast<uint32_t>(NumberParam(aRequest, "part", 0)));
  }
  const std::lock_guard<std::mutex> turn(partition->mAppendTurn);
  std::this_thread::sleep_for(
    kAppendTime +
    std::chrono::microseconds(body.size() / kBytesPerMicrosecond));
  const std::lock_guard<std::mutex> lock(mMutex);
  Producer* producer = nullptr;
  const uint64_t sequence = NumberParam(aRequest, "sequence", 0);
  if (aRequest.has_param("producer")) {
    producer = &partition->mProducers[aRequest.get_param_value("producer")];
    const uint64_t epoch = NumberParam(aRequest, "epoch", 0);
    if (epoch < producer->mEpoch) {
      Send(aResponse, 409, json{ { "reason", "fenced" } });
      return;
    }
    if (epoch > producer->mEpoch) {
      *producer = Producer{ epoch, sequence - 1, {} };
    }
    for (const auto& [known, answer] : producer->mAnswers) {
      if (known == sequence) {
        aResponse.status = 200;
        aResponse.set_content(answer, "application/json");
        return;
      }
    }
    if (sequence != producer->mSequence + 1) {
      Send(
        aResponse,
        409,
        json{ { "reason", "seq" }, { "sequence", producer->mSequence + 1 } });
      return;
    }
  }
  const uint64_t offset = partition->End();
  for (const std::string& record : records) {
    AddRecord(topic, *partition, record);
  }
  const json answer{ { "offset", offset }, { "end", partition->End() } };
  if (producer != nullptr) {
    producer->mSequence = sequence;
    producer->mAnswers.emplace_back(sequence, answer.dump());
    if (producer->mAnswers.size() > kRememberedAnswers) {
      producer->mAnswers.pop_front();
    }
  }
  mAppended.notify_all();
  Send(aResponse, 200, answer);
}

void Store::Read(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string topic = aRequest.get_param_value("topic");
  const uint64_t from = NumberParam(aRequest, "from", 0);
  const size_t most = NumberParam(aRequest, "max_kilobytes", 1024) * 1024;
  const Steady::time_point until =
    Steady::now() +
    std::chrono::milliseconds(NumberParam(aRequest, "wait_ms", 0));
  std::unique_lock<std::mutex> lock(mMutex);
  Partition& partition =
    PartitionOf(topic, static_cast<uint32_t>(NumberParam(aRequest, "part", 0)));
  while (partition.End() <= from && Steady::now() < until) {
    mAppended.wait_until(lock, until);
  }
  if (from < partition.mFirst) {
    Send(aResponse, 410, json{ { "first", partition.mFirst } });
    return;
  }
  std::string out =
    BigEndian(partition.End(), 8) + BigEndian(partition.mFirst, 8);
  size_t bytes = 0;
  for (uint64_t offset = from; offset < partition.End(); offset++) {
    const std::string& record = partition.mRecords[offset - partition.mFirst];
    bytes += record.size();
    if (bytes > most && offset > from) {
      break;
    }
    out += BigEndian(record.size(), 4) + record;
  }
  aResponse.status = 200;
  aResponse.set_content(out, "application/octet-stream");
}

void Store::ReadNewest(const httplib::Request& aRequest,
                       httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Partition& partition =
    PartitionOf(aRequest.get_param_value("topic"),
                static_cast<uint32_t>(NumberParam(aRequest, "part", 0)));
  auto next =
    aRequest.has_param("after")
      ? partition.mNewest.upper_bound(aRequest.get_param_value("after"))
      : partition.mNewest.begin();
  json items = json::array();
  size_t bytes = 0;
  for (; next != partition.mNewest.end() && items.size() < kMaxItems; ++next) {
    bytes += next->second.mValue.size();
    if (bytes > kMaxPageBytes && !items.empty()) {
      break;
    }
    items.push_back({ { "key", next->first },
                      { "value", Base64(next->second.mValue) },
                      { "offset", next->second.mOffset } });
  }
  Send(aResponse,
       200,
       json{ { "items", items },
             { "more", next != partition.mNewest.end() },
             { "end", partition.End() } });
}

// Removes the members that have been silent for too long.
// Precondition: the caller holds mMutex.
void Store::Expire(Group& aGroup)
{
  bool changed = false;
  for (auto member = aGroup.mMembers.begin();
       member != aGroup.mMembers.end();) {
    if (NowMs() < member->second.mSeenAt + member->second.mTtl) {
      ++member;
      continue;
    }
    mRecord.Line("store: member " + member->first + " expired");
    member = aGroup.mMembers.erase(member);
    changed = true;
  }
  if (changed) {
    Deal(aGroup);
  }
}

// Deals all partitions evenly. A partition changes hands once its holder has
// joined with the new generation, or is gone.
// Precondition: the caller holds mMutex.
void Store::Deal(Group& aGroup)
{
  aGroup.mGeneration++;
  std::vector<std::string> names;
  for (const auto& [name, member] : aGroup.mMembers) {
    names.push_back(name);
  }
  for (uint32_t part = 0; part < kPartitions; part++) {
    aGroup.mTarget[part] =
      names.empty() ? "" : names[part * names.size() / kPartitions];
    if (aGroup.mMembers.count(aGroup.mHolder[part]) == 0) {
      aGroup.mHolder[part] = "";
    }
  }
}

void Store::Join(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::string name = body.at("member");
  const uint64_t known = body.at("generation");
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[body.at("group")];
  Expire(group);
  const bool isNew = group.mMembers.count(name) == 0;
  Member& member = group.mMembers[name];
  member.mSeenAt = NowMs();
  member.mTtl = body.at("ttl_ms");
  if (isNew) {
    mRecord.Line("store: member " + name + " joined");
    Deal(group);
  }
  json parts = json::array();
  for (uint32_t part = 0; part < kPartitions; part++) {
    const bool isMine = group.mTarget[part] == name;
    if (!isMine && group.mHolder[part] == name && known >= group.mGeneration) {
      group.mHolder[part] = "";
    }
    if (isMine && group.mHolder[part].empty()) {
      group.mHolder[part] = name;
    }
    if (isMine && group.mHolder[part] == name) {
      parts.push_back(json::array({ "keyed.progress", part, 0 }));
    }
  }
  Send(aResponse,
       200,
       json{ { "generation", group.mGeneration },
             { "ttl_ms", member.mTtl },
             { "parts", parts } });
}

void Store::Leave(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[body.at("group")];
  if (group.mMembers.erase(body.at("member")) != 0) {
    mRecord.Line("store: member " + std::string(body.at("member")) + " left");
    Deal(group);
  }
  Send(aResponse, 200, json::object());
}

void Store::Owners(const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[aRequest.get_param_value("group")];
  Expire(group);
  json parts = json::array();
  for (uint32_t part = 0; part < kPartitions; part++) {
    if (!group.mHolder[part].empty()) {
      parts.push_back(
        json::array({ "keyed.progress", part, group.mHolder[part], 0 }));
    }
  }
  Send(aResponse,
       200,
       json{ { "generation", group.mGeneration }, { "parts", parts } });
}

std::string Store::Holder(const std::string& aGroup)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Group& group = mGroups[aGroup];
  Expire(group);
  return group.mHolder[0];
}

} // namespace review
