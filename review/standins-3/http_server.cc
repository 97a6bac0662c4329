#include "http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 16 * 1024;

int Bind(const std::string& aAddress, uint16_t& aPort)
{
  const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, aAddress.c_str(), &name.sin_addr);
  socklen_t size = sizeof name;
  if (::bind(listening, reinterpret_cast<sockaddr*>(&name), size) != 0 ||
      ::getsockname(listening, reinterpret_cast<sockaddr*>(&name), &size) !=
        0) {
    throw std::runtime_error("cannot bind " + aAddress);
  }
  aPort = ntohs(name.sin_port);
  return listening;
}

std::string Decoded(const std::string& aText)
{
  std::string out;
  for (size_t at = 0; at < aText.size(); at++) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      out += static_cast<char>(
        std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      out += aText[at];
    }
  }
  return out;
}

void ReadQuery(const std::string& aText, Request& aRequest)
{
  size_t begin = 0;
  while (begin < aText.size()) {
    const size_t end = std::min(aText.find('&', begin), aText.size());
    const std::string pair = aText.substr(begin, end - begin);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      aRequest.mQuery[pair.substr(0, equals)] =
        Decoded(pair.substr(equals + 1));
    }
    begin = end + 1;
  }
}

// Reads the request line and the headers of aHead.
Request ParseHead(const std::string& aHead)
{
  Request request;
  size_t lineEnd = aHead.find("\r\n");
  const std::string line = aHead.substr(0, lineEnd);
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  request.mMethod = line.substr(0, first);
  const std::string target = line.substr(first + 1, second - first - 1);
  const size_t mark = target.find('?');
  request.mPath = target.substr(0, mark);
  if (mark != std::string::npos) {
    ReadQuery(target.substr(mark + 1), request);
  }
  while (lineEnd != std::string::npos && lineEnd + 2 < aHead.size()) {
    const size_t begin = lineEnd + 2;
    lineEnd = aHead.find("\r\n", begin);
    const std::string header = aHead.substr(begin, lineEnd - begin);
    const size_t colon = header.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = header.substr(0, colon);
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aByte) {
        return static_cast<char>(std::tolower(aByte));
      });
    const size_t value = header.find_first_not_of(' ', colon + 1);
    request.mHeaders[name] =
      value == std::string::npos ? "" : header.substr(value);
  }
  return request;
}

bool SendAll(int aSocket, const std::string& aText)
{
  size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t now =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) {
      return false;
    }
    sent += static_cast<size_t>(now);
  }
  return true;
}

// Reads the next request; what follows it stays in aBuffer.
std::optional<Request> ReadRequest(int aSocket, std::string& aBuffer)
{
  std::array<char, kReadBytes> bytes{};
  const auto readMore = [&] {
    const ssize_t got = ::recv(aSocket, bytes.data(), bytes.size(), 0);
    if (got > 0) {
      aBuffer.append(bytes.data(), static_cast<size_t>(got));
    }
    return got > 0;
  };
  size_t headEnd = aBuffer.find("\r\n\r\n");
  while (headEnd == std::string::npos) {
    if (!readMore()) {
      return std::nullopt;
    }
    headEnd = aBuffer.find("\r\n\r\n");
  }
  Request request = ParseHead(aBuffer.substr(0, headEnd));
  aBuffer.erase(0, headEnd + 4);
  const size_t length =
    std::strtoul(request.mHeaders["content-length"].c_str(), nullptr, 10);
  while (aBuffer.size() < length) {
    if (!readMore()) {
      return std::nullopt;
    }
  }
  request.mBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return request;
}

// Waits until the client closes the connection or the server drops it.
void FallSilent(int aSocket)
{
  std::array<char, kReadBytes> bytes{};
  while (::recv(aSocket, bytes.data(), bytes.size(), 0) > 0) {
  }
}

} // namespace

HttpServer::HttpServer(std::string aAddress, Handler aHandler)
  : mAddress(std::move(aAddress))
  , mHandler(std::move(aHandler))
{
  mListening = Bind(mAddress, mPort);
  ::listen(mListening, kBacklog);
  mAcceptThread = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  Drop();
}

void HttpServer::Drop()
{
  if (mDropped.exchange(true)) {
    return;
  }
  mAcceptThread.join();
  ::close(mListening);
  std::unique_lock<std::mutex> lock(mMutex);
  for (const int open : mSockets) {
    ::shutdown(open, SHUT_RDWR);
  }
  mEnded.wait(lock, [this] { return mThreads == 0; });
}

void HttpServer::Accept()
{
  constexpr int kPollMs = 20;
  while (!mDropped) {
    pollfd entry{ mListening, POLLIN, 0 };
    if (::poll(&entry, 1, kPollMs) <= 0) {
      continue;
    }
    const int open = ::accept4(mListening, nullptr, nullptr, SOCK_CLOEXEC);
    if (open < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(open, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard<std::mutex> lock(mMutex);
    mSockets.insert(open);
    mThreads++;
    std::thread([this, open] { Serve(open); }).detach();
  }
}

void HttpServer::Serve(int aSocket)
{
  std::string buffer;
  while (!mDropped) {
    const std::optional<Request> request = ReadRequest(aSocket, buffer);
    if (!request || mDropped) {
      break;
    }
    const Response response = mHandler(*request);
    if (response.mStatus == kNoAnswer) {
      FallSilent(aSocket);
    }
    if (mDropped || response.mStatus == kNoAnswer) {
      break;
    }
    const std::string head =
      "HTTP/1.1 " + std::to_string(response.mStatus) +
      " X\r\nContent-Type: " + response.mType +
      "\r\nContent-Length: " + std::to_string(response.mBody.size()) +
      "\r\n\r\n";
    if (!SendAll(aSocket, head + response.mBody)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mSockets.erase(aSocket);
  ::close(aSocket);
  mThreads--;
  mEnded.notify_all();
}

uint16_t FreePort(const std::string& aAddress)
{
  uint16_t port = 0;
  ::close(Bind(aAddress, port));
  return port;
}

} // namespace review
