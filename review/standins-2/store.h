// A stand-in of the platform's metadata store, as PROTOCOL.md describes it.
#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include "net.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <vector>

namespace review {

// Thread-safe.
class Store
{
public:
  Store(const std::string& aAddress, uint32_t aParts);

  uint16_t Port() const { return mServer->Port(); }

  // Writes, as the operator and the workers do.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);

  // Returns the member that holds a partition in a group, or an empty text.
  std::string Holder(const std::string& aGroup, uint32_t aPart);

  // How long an answer takes at least, in milliseconds.
  void SetDelay(int aMilliseconds) { mDelayMs = aMilliseconds; }

private:
  struct Done
  {
    int64_t mSequence = 0;
    std::string mBody;
  };
  struct Part
  {
    std::vector<std::string> mRecords;
    int64_t mEpoch = -1;
    int64_t mSequence = 0;
    std::deque<Done> mDone;
  };
  struct Member
  {
    int64_t mExpiresAt = 0;
  };
  struct Group
  {
    int64_t mGeneration = 0;
    std::map<std::string, Member> mMembers;
    std::vector<std::string> mHolder;
    std::vector<std::string> mTarget;
    std::string mTopic;
  };

  Response Handle(const Request& aRequest);
  Response Append(const Request& aRequest);
  Response Read(const Request& aRequest);
  Response Newest(const Request& aRequest);
  Response Join(const Request& aRequest);
  Response Leave(const Request& aRequest);
  Response Owners(const Request& aRequest);
  Part& PartOf(const Request& aRequest);
  void Expire(Group& aGroup);
  void Retarget(Group& aGroup);

  const uint32_t mParts;
  std::atomic<int> mDelayMs{ 4 };
  std::mutex mMutex;
  std::condition_variable mAppended;
  std::map<std::string, Part> mTopics;
  std::map<std::string, Group> mGroups;
  std::unique_ptr<Server> mServer;
};

} // namespace review

#endif // REVIEW_STANDINS_2_STORE_H_
