#include "mulberryvalve/adapters/http/scripted_server_fake.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryvalve {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr int kBacklog = 16;
constexpr int kResponseDelayMs = 100;
constexpr int kTrickleIntervalMs = 20;
constexpr int kTrickledBytes = 100;

bool Send(int aSocket, const std::string& aText)
{
  return send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(aText.size());
}

std::string ResponseHeaders(const std::string& aStatus,
                            const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders + "\r\n";
}

std::string CompleteResponse(const std::string& aEcho)
{
  return ResponseHeaders("200 OK",
                         "X-Attempt: " + aEcho + "\r\nContent-Length: 4\r\n") +
         "body";
}

// Returns false if the peer closes the connection before the time has passed.
bool WaitWhileOpen(int aSocket, int aMilliseconds)
{
  pollfd polled{ aSocket, POLLRDHUP, 0 };
  return poll(&polled, 1, aMilliseconds) == 0;
}

bool Trickle(int aSocket)
{
  Send(aSocket, ResponseHeaders("200 OK", "Content-Length: 100\r\n"));
  for (int i = 0; i < kTrickledBytes; i++) {
    if (!WaitWhileOpen(aSocket, kTrickleIntervalMs) || !Send(aSocket, "x")) {
      return false;
    }
  }
  return true;
}

} // namespace

ScriptedServer::ScriptedServer()
{
  mListener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  socklen_t size = sizeof address;
  const bool bound =
    bind(mListener, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
    listen(mListener, kBacklog) == 0;
  if (!bound) {
    return;
  }
  getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  mAcceptor = std::thread([this] { Accept(); });
}

ScriptedServer::~ScriptedServer()
{
  shutdown(mListener, SHUT_RDWR);
  if (mAcceptor.joinable()) {
    mAcceptor.join();
  }
  std::vector<std::thread> threads;
  {
    MutexLock lock(mMutex);
    for (const int open : mSockets) {
      shutdown(open, SHUT_RDWR);
    }
    threads.swap(mThreads);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  close(mListener);
}

Endpoint ScriptedServer::Address() const
{
  return Endpoint{ kLoopback, mPort };
}

void ScriptedServer::Enqueue(ServerStep aStep)
{
  MutexLock lock(mMutex);
  mSteps.push_back(aStep);
}

size_t ScriptedServer::Connections()
{
  MutexLock lock(mMutex);
  return mSockets.size();
}

void ScriptedServer::Accept()
{
  while (true) {
    const int accepted = accept(mListener, nullptr, nullptr);
    if (accepted < 0) {
      return;
    }
    MutexLock lock(mMutex);
    mSockets.push_back(accepted);
    mThreads.emplace_back([this, accepted] { Serve(accepted); });
  }
}

// The descriptor is shut down but not closed, so that its number is not reused.
void ScriptedServer::Serve(int aSocket)
{
  std::string echo;
  while (ReadRequest(aSocket, echo) && Answer(aSocket, NextStep(), echo)) {
  }
  shutdown(aSocket, SHUT_RDWR);
}

bool ScriptedServer::ReadRequest(int aSocket, std::string& aEcho)
{
  const std::string name = "X-Attempt: ";
  const std::string bodyEnd = "}";
  std::string text;
  char part[4096];
  while (text.empty() || text.back() != bodyEnd[0]) {
    const ssize_t got = recv(aSocket, part, sizeof part, 0);
    if (got <= 0) {
      return false;
    }
    text.append(part, static_cast<size_t>(got));
  }
  const size_t begin = text.find(name) + name.size();
  aEcho = text.substr(begin, text.find("\r\n", begin) - begin);
  return true;
}

ServerStep ScriptedServer::NextStep()
{
  MutexLock lock(mMutex);
  if (mSteps.empty()) {
    return ServerStep::kComplete;
  }
  const ServerStep step = mSteps.front();
  mSteps.pop_front();
  return step;
}

bool ScriptedServer::Answer(int aSocket,
                            ServerStep aStep,
                            const std::string& aEcho)
{
  switch (aStep) {
    case ServerStep::kComplete:
      return Send(aSocket, CompleteResponse(aEcho));
    case ServerStep::kDelayed:
      return WaitWhileOpen(aSocket, kResponseDelayMs) &&
             Send(aSocket, CompleteResponse(aEcho));
    case ServerStep::kTruncated:
      Send(aSocket,
           ResponseHeaders("200 OK", "Content-Length: 100\r\n") + "part");
      return false;
    case ServerStep::kNoContentLength:
      Send(aSocket,
           ResponseHeaders("200 OK", "X-Attempt: " + aEcho + "\r\n") + "part");
      return false;
    case ServerStep::kNoResponse:
      return WaitWhileOpen(aSocket, -1);
    case ServerStep::kExtraResponse:
      return Send(aSocket, CompleteResponse(aEcho)) &&
             WaitWhileOpen(aSocket, kTrickleIntervalMs) &&
             Send(aSocket, CompleteResponse("stray"));
    case ServerStep::kWrongEcho:
      return Send(aSocket, CompleteResponse("other"));
    case ServerStep::kRefused:
      return Send(
        aSocket,
        ResponseHeaders("503 Unavailable",
                        "X-Refused: before-start\r\nContent-Length: 0\r\n"));
    case ServerStep::kCloseConnection:
      return false;
    case ServerStep::kTrickle:
      return Trickle(aSocket);
  }
  return false;
}

} // namespace mulberryvalve
