#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();
constexpr int kBacklog = 128;
constexpr size_t kChunk = 16384;

sockaddr_in ToAddress(const std::string& aAddress, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](char aCharacter) {
      return static_cast<char>(
        std::tolower(static_cast<unsigned char>(aCharacter)));
    });
  return aText;
}

std::string Decode(const std::string& aText)
{
  std::string out;
  for (size_t at = 0; at < aText.size(); at++) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      out += aText[at];
    }
  }
  return out;
}

// Reads until aBuffer holds a head and the body that it announces. Returns the
// length of the head, or 0 if the connection ended.
size_t ReadMessage(int aSocket, std::string& aBuffer, size_t& aBodyBytes)
{
  while (true) {
    const size_t end = aBuffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string head = Lower(aBuffer.substr(0, end + 2));
      const size_t field = head.find("\r\ncontent-length:");
      aBodyBytes = field == std::string::npos
                     ? 0
                     : static_cast<size_t>(std::stoul(head.substr(field + 17)));
      if (aBuffer.size() >= end + 4 + aBodyBytes) {
        return end + 4;
      }
    }
    char bytes[kChunk];
    const ssize_t got = ::recv(aSocket, bytes, sizeof bytes, 0);
    if (got <= 0) {
      return 0;
    }
    aBuffer.append(bytes, static_cast<size_t>(got));
  }
}

Request Parse(const std::string& aHead, std::string aBody)
{
  Request request;
  request.mBody = std::move(aBody);
  const size_t line = aHead.find("\r\n");
  const size_t space = aHead.find(' ');
  const size_t second = aHead.find(' ', space + 1);
  request.mMethod = aHead.substr(0, space);
  std::string target = aHead.substr(space + 1, second - space - 1);
  const size_t mark = target.find('?');
  std::string query =
    mark == std::string::npos ? "" : target.substr(mark + 1) + "&";
  request.mPath = target.substr(0, mark);
  while (!query.empty()) {
    const size_t end = query.find('&');
    const std::string pair = query.substr(0, end);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.mQuery[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
    }
    query.erase(0, end + 1);
  }
  size_t at = line + 2;
  while (at < aHead.size()) {
    const size_t end = aHead.find("\r\n", at);
    const size_t colon = aHead.find(':', at);
    if (end == std::string::npos || end == at || colon > end) {
      break;
    }
    size_t value = colon + 1;
    while (value < end && aHead[value] == ' ') {
      value++;
    }
    request.mHeaders[Lower(aHead.substr(at, colon - at))] =
      aHead.substr(value, end - value);
    at = end + 2;
  }
  return request;
}

bool SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t more =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (more <= 0) {
      return false;
    }
    sent += static_cast<size_t>(more);
  }
  return true;
}

} // namespace

int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
    .count();
}

struct Server::Shared
{
  std::mutex mMutex;
  Handler mHandler;
  std::set<int> mSockets;
  uint64_t mGeneration = 0;
};

Server::Server(std::string aAddress, uint16_t aPort, Handler aHandler)
  : mAddress(std::move(aAddress))
  , mPort(aPort)
  , mShared(std::make_shared<Shared>())
{
  mShared->mHandler = std::move(aHandler);
  Listen();
}

void Server::Listen()
{
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = ToAddress(mAddress, mPort);
  socklen_t size = sizeof address;
  if (::bind(mListener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(mListener, kBacklog) != 0) {
    throw std::runtime_error("can't listen on " + mAddress + ":" +
                             std::to_string(mPort));
  }
  getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  std::thread([this, listener = mListener] { Accept(listener); }).detach();
}

void Server::Accept(int aListener)
{
  while (true) {
    const int socket = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      return;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      std::lock_guard<std::mutex> lock(mShared->mMutex);
      mShared->mSockets.insert(socket);
    }
    std::thread([shared = mShared, socket] { Serve(shared, socket); }).detach();
  }
}

void Server::Serve(const std::shared_ptr<Shared>& aShared, int aSocket)
{
  uint64_t generation = 0;
  {
    std::lock_guard<std::mutex> lock(aShared->mMutex);
    generation = aShared->mGeneration;
  }
  std::string buffer;
  while (true) {
    size_t bodyBytes = 0;
    const size_t headBytes = ReadMessage(aSocket, buffer, bodyBytes);
    if (headBytes == 0) {
      break;
    }
    {
      // What reached a killed process is not carried out by the next one.
      std::lock_guard<std::mutex> lock(aShared->mMutex);
      if (generation != aShared->mGeneration) {
        break;
      }
    }
    const Request request =
      Parse(buffer.substr(0, headBytes), buffer.substr(headBytes, bodyBytes));
    buffer.erase(0, headBytes + bodyBytes);
    const Response response = aShared->mHandler(request);
    if (response.mDropConnection) {
      break;
    }
    const std::string head =
      "HTTP/1.1 " + std::to_string(response.mStatus) +
      " X\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(response.mBody.size()) + "\r\n\r\n";
    if (!SendAll(aSocket, head + response.mBody)) {
      break;
    }
  }
  std::lock_guard<std::mutex> lock(aShared->mMutex);
  aShared->mSockets.erase(aSocket);
  ::close(aSocket);
}

void Server::Kill()
{
  ::shutdown(mListener, SHUT_RDWR);
  ::close(mListener);
  std::lock_guard<std::mutex> lock(mShared->mMutex);
  mShared->mGeneration++;
  for (const int socket : mShared->mSockets) {
    const linger reset{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::shutdown(socket, SHUT_RDWR);
  }
}

Answer Call(const std::string& aAddress,
            uint16_t aPort,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aHost,
            const std::string& aBody,
            int aTimeoutMs)
{
  Answer answer;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const sockaddr_in address = ToAddress(aAddress, aPort);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    const std::string text =
      aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
      "\r\nContent-Type: application/json\r\nMulberryvalve-Deadline-Ms: " +
      std::to_string(aTimeoutMs) +
      "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
      aBody;
    std::string buffer;
    size_t bodyBytes = 0;
    const size_t headBytes =
      SendAll(socket, text) ? ReadMessage(socket, buffer, bodyBytes) : 0;
    if (headBytes > 0) {
      answer.mStatus = std::stoi(buffer.substr(9, 3));
      answer.mBody = buffer.substr(headBytes, bodyBytes);
    }
  }
  ::close(socket);
  return answer;
}

} // namespace review
