// The platform's metadata store: a log with topics, keyed topics and groups, as
// the users' protocol page describes it.
#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

#include "http_server.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr uint32_t kParts = 16;

// Store is thread-safe.
class Store
{
public:
  explicit Store(const std::string& aAddress);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::string Endpoint() const { return mServer.Endpoint(); }

  // Put writes or, without a value, removes a key of a keyed topic, as the
  // operator and the workers do.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // LoseAppends has appends to aTopic whose body has aText get no answer, until
  // KeepAppends. The next one is carried out after the first of aDelays, and so
  // on; the rest is lost.
  void LoseAppends(const std::string& aTopic,
                   const std::string& aText,
                   std::vector<Ms> aDelays);
  void KeepAppends();

  // LostAppends returns how many appends got no answer, and Writes how many
  // writing calls there were.
  size_t LostAppends() const { return mLostAppends; }
  size_t Writes() const { return mWrites; }

private:
  struct Producer
  {
    uint64_t mEpoch = 0;
    uint64_t mLast = 0;
    std::deque<std::pair<uint64_t, Response>> mAnswers;
  };
  struct Partition
  {
    std::vector<std::string> mRecords;
    std::map<std::string, std::pair<uint64_t, std::string>> mNewest;
    std::map<std::string, Producer> mProducers;
  };
  struct Member
  {
    Steady::time_point mExpiresAt;
    uint64_t mKnown = 0;
  };
  struct Group
  {
    uint64_t mGeneration = 0;
    std::map<std::string, Member> mMembers;
    std::string mTopic;
    // Who holds each partition, and who is to hold it.
    std::vector<std::string> mHolders = std::vector<std::string>(kParts);
    std::vector<std::string> mTargets = std::vector<std::string>(kParts);
  };

  Response Handle(const Request& aRequest);
  Response Append(const Request& aRequest);
  bool IsLost(const Request& aRequest);
  void CarryOutLate();
  Response Read(const Request& aRequest);
  Response Newest(const Request& aRequest);
  Response Join(const Request& aRequest);
  Response Leave(const Request& aRequest);
  Response Owners(const Request& aRequest);
  Partition& PartitionOf(const Request& aRequest);
  void AddRecord(Partition& aPartition, bool aIsKeyed, std::string aRecord);
  static void Expire(Group& aGroup);
  static void Deal(Group& aGroup);
  static void Settle(Group& aGroup);

  std::mutex mMutex;
  std::condition_variable mAppended;
  std::map<std::pair<std::string, uint32_t>, Partition> mPartitions;
  std::map<std::string, Group> mGroups;
  std::string mLostTopic;
  std::string mLostText;
  std::vector<Ms> mDelays;
  std::vector<std::pair<Steady::time_point, Request>> mLate;
  bool mStopping = false;
  std::atomic<size_t> mLostAppends{ 0 };
  std::atomic<size_t> mWrites{ 0 };
  std::thread mLateThread;
  HttpServer mServer;
};

} // namespace review

#endif // REVIEW_STANDINS_3_STORE_H_
