// Store: a stand-in for the platform's store in the form of a log
// (PROTOCOL.md, "The platform's metadata store").
#ifndef MULBERRYVALVE_REVIEW_STANDINS_STORE_H_
#define MULBERRYVALVE_REVIEW_STANDINS_STORE_H_

#include "record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Thread-safe.
class Store
{
public:
  static constexpr uint32_t kPartitions = 16;

  Store(std::string aAddress, Record& aRecord);
  ~Store();

  // Returns "ADDRESS:PORT".
  std::string Endpoint() const;

  // Writes a record as the operator or a worker does.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // While set, every call is answered 503 and nothing is done.
  void SetDown(bool aDown) { mDown = aDown; }

  // While set, calls to this topic's partitions are answered 503 and nothing
  // is done: the store is partly down. An empty name: no topic.
  void SetTopicDown(const std::string& aTopic);

  // From now on the writing calls of the process that owns shard 0 get no
  // answer, and are carried out aDelayMs later if their condition still holds.
  // Returns its member name.
  std::string BeginLateWrites(int64_t aDelayMs);
  void EndLateWrites();

  // WriteCounts are the writing calls since BeginLateWrites, and how many of
  // them got no answer.
  struct WriteCounts
  {
    size_t mCalls = 0;
    size_t mLost = 0;
  };
  WriteCounts TakeWriteCounts();

  // Returns the member of the group that holds partition 0, or "".
  std::string Holder(const std::string& aGroup);

private:
  struct Producer
  {
    uint64_t mEpoch = 0;
    uint64_t mSequence = 0;
    // The last five sequence numbers with their answers.
    std::deque<std::pair<uint64_t, std::string>> mAnswers;
  };
  struct Newest
  {
    std::string mValue;
    uint64_t mOffset = 0;
  };
  struct Partition
  {
    std::mutex mAppendTurn;
    std::deque<std::string> mRecords;
    uint64_t mFirst = 0;
    size_t mBytes = 0;
    std::map<std::string, Newest> mNewest;
    std::map<std::string, Producer> mProducers;

    uint64_t End() const { return mFirst + mRecords.size(); }
  };
  struct Member
  {
    int64_t mSeenAt = 0;
    int64_t mTtl = 0;
    uint64_t mGeneration = 0;
  };
  struct Group
  {
    uint64_t mGeneration = 0;
    std::map<std::string, Member> mMembers;
    // For each partition: who holds it, and who is to have it.
    std::vector<std::string> mHolder = std::vector<std::string>(kPartitions);
    std::vector<std::string> mTarget = std::vector<std::string>(kPartitions);
  };

  struct LateWrites
  {
    std::string mMember;
    std::string mEpoch;
    int64_t mDelayMs = 0;
  };

  using Handler = void (Store::*)(const httplib::Request&, httplib::Response&);

  void Handle(Handler aHandler,
              const httplib::Request& aRequest,
              httplib::Response& aResponse);
  bool IsLost(const httplib::Request& aRequest);
  void CarryOutLater(Handler aHandler, const httplib::Request& aRequest);
  bool Refuse(const httplib::Request& aRequest, httplib::Response& aResponse);
  Partition& PartitionOf(const std::string& aTopic, uint32_t aPart);
  void AddRecord(const std::string& aTopic,
                 Partition& aPartition,
                 const std::string& aBytes);
  void Append(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Read(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ReadNewest(const httplib::Request& aRequest,
                  httplib::Response& aResponse);
  void Join(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Leave(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Owners(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Expire(Group& aGroup);
  void Deal(Group& aGroup);

  const std::string mAddress;
  Record& mRecord;
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
  std::atomic<bool> mDown{ false };
  std::mutex mMutex;
  std::condition_variable mAppended;
  std::string mTopicDown;
  std::optional<LateWrites> mLateWrites;
  WriteCounts mWriteCounts;
  // The epoch of the last fenced append to shard 0's progress.
  std::string mLastEpoch;
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mLateCalls;
  std::map<std::pair<std::string, uint32_t>, std::unique_ptr<Partition>>
    mPartitions;
  std::map<std::string, Group> mGroups;
};

} // namespace review

#endif // MULBERRYVALVE_REVIEW_STANDINS_STORE_H_
