// A small HTTP/1.1 server and client on loopback for the stand-ins of the
// review's cases.
#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

// Returns the milliseconds since this program started.
int64_t NowMs();

struct Request
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  // Names are in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

struct Response
{
  int mStatus = 200;
  std::string mBody;
  // The connection ends without a response.
  bool mDropConnection = false;
};

using Handler = std::function<Response(const Request&)>;

// Serves each connection in a thread of its own. Thread-safe.
class Server
{
public:
  // Listens on aAddress, on a free port if aPort is 0.
  Server(std::string aAddress, uint16_t aPort, Handler aHandler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t Port() const { return mPort; }
  const std::string& Address() const { return mAddress; }

  // Resets all connections and stops listening, like a process that is killed.
  void Kill();
  // Listens again on the same port.
  void Listen();

private:
  struct Shared;
  void Accept(int aListener);
  static void Serve(const std::shared_ptr<Shared>& aShared, int aSocket);

  const std::string mAddress;
  uint16_t mPort = 0;
  std::shared_ptr<Shared> mShared;
  int mListener = -1;
};

struct Answer
{
  // 0 if there was no answer.
  int mStatus = 0;
  std::string mBody;
};

// Makes one call on a connection of its own.
Answer Call(const std::string& aAddress,
            uint16_t aPort,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aHost,
            const std::string& aBody,
            int aTimeoutMs);

} // namespace review

#endif // REVIEW_STANDINS_2_NET_H_
