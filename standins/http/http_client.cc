#include "standins/http/http_client.h"

#include <utility>

#include <httplib.h>

namespace mulberryvalve::standins {

HttpClient::HttpClient(Endpoint aTarget, Milliseconds aTimeout)
  : mTarget(std::move(aTarget))
  , mTimeout(aTimeout)
{
}

int HttpClient::Post(const std::string& aPath, const std::string& aBody) const
{
  httplib::Client client(mTarget.mAddress, mTarget.mPort);
  client.set_connection_timeout(mTimeout);
  client.set_read_timeout(mTimeout);
  client.set_tcp_nodelay(true);
  const auto result = client.Post(aPath.c_str(), aBody, "application/json");
  return result ? result->status : 0;
}

} // namespace mulberryvalve::standins
