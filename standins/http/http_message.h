// HTTP requests and responses, independent of the HTTP library.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryvalve::standins {

enum class HttpMethod
{
  kGet,
  kPost,
};

struct HttpRequest
{
  HttpMethod mMethod = HttpMethod::kGet;
  std::string mPath;
  std::map<std::string, std::string> mParameters;
  // Keys are in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  // The value of the header `aName` (lower case), or an empty string.
  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? std::string() : found->second;
  }
};

// How a response is delivered to the client.
enum class Delivery
{
  kWhole,
  // Sends half of the body, then closes the connection.
  kTruncated,
  // Sends nothing and closes the connection.
  kDropped,
};

struct HttpResponse
{
  int mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> mHeaders;
  Delivery mDelivery = Delivery::kWhole;
};

// Handles HTTP requests. `Handle` is called concurrently and may block.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  virtual HttpResponse Handle(const HttpRequest& aRequest) = 0;
};

} // namespace mulberryvalve::standins
