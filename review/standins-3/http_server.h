// A small HTTP/1.1 server for stand-ins. Each connection has a thread of its
// own, so a handler may block, and the server can drop all its connections at
// once, as a process that crashes does.
#ifndef REVIEW_STANDINS_3_HTTP_SERVER_H_
#define REVIEW_STANDINS_3_HTTP_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  // By name in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

// The status of a response that is not sent: the connection returns nothing
// more.
constexpr int kNoAnswer = 0;

struct Response
{
  int mStatus = 200;
  std::string mBody;
  std::string mType = "application/json";
};

// HttpServer listens on a free port of a loopback address. Thread-safe.
class HttpServer
{
public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(std::string aAddress, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string Endpoint() const
  {
    return mAddress + ":" + std::to_string(mPort);
  }

  // Drop closes the listening socket and all connections. An answer that is
  // under way is lost.
  void Drop();

private:
  void Accept();
  void Serve(int aSocket);

  const std::string mAddress;
  const Handler mHandler;
  uint16_t mPort = 0;
  int mListening = -1;
  std::atomic<bool> mDropped{ false };
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::set<int> mSockets;
  size_t mThreads = 0;
  std::thread mAcceptThread;
};

// Returns a port of aAddress that was free a moment ago.
uint16_t FreePort(const std::string& aAddress);

} // namespace review

#endif // REVIEW_STANDINS_3_HTTP_SERVER_H_
