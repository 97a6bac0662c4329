#include "mulberryvalve/adapters/http/operator_routes.h"

#include "mulberryvalve/adapters/http/http_reply.h"
#include "mulberryvalve/adapters/json/api_json.h"
#include "mulberryvalve/adapters/json/model_json.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kAuditLimit = 1000;

// The route allows at most 18 digits, so the conversion cannot overflow.
BundleVersion VersionOf(const HttpRequest& aHttp)
{
  return BundleVersion(std::stoull(aHttp.matches[1].str()));
}

void Status(OperatorApi& aApi, const HttpRequest&, HttpResponse& aOut)
{
  SendJson(aOut, kStatusOk, StatusToJson(aApi.Status()));
}

void Workers(OperatorApi& aApi, const HttpRequest&, HttpResponse& aOut)
{
  json workers = json::array();
  for (const WorkerSpec& worker : aApi.Workers()) {
    workers.push_back(WorkerToJson(worker));
  }
  SendJson(aOut, kStatusOk, json{ { "workers", std::move(workers) } });
}

void Audit(OperatorApi& aApi, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const Result<size_t> limit = LimitParameter(aHttp, kAuditLimit);
  if (!limit) {
    SendFailure(aOut, limit.error());
    return;
  }
  const Result<AuditPage> page = aApi.Audit(limit.value());
  if (!page) {
    SendFailure(aOut, page.error());
    return;
  }
  SendJson(aOut, kStatusOk, AuditToJson(page.value()));
}

void Publish(OperatorApi& aApi, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const Result<OperatorId> caller = OperatorHeader(aHttp);
  if (!caller) {
    SendFailure(aOut, caller.error());
    return;
  }
  const Result<BundleVersion> expected =
    VersionHeader(aHttp, "X-Expected-Version");
  if (!expected) {
    SendFailure(aOut, expected.error());
    return;
  }
  const PublishOutcome receipt =
    aApi.Publish(aHttp.body, expected.value(), caller.value());
  if (!receipt) {
    const PublishFailure& failure = receipt.error();
    SendJson(aOut,
             HttpStatusFor(failure.mFailure.mKind),
             PublishFailureToJson(failure));
    return;
  }
  SendJson(aOut,
           kStatusOk,
           json{ { "version", receipt.value().mVersion.Value() },
                 { "digest", receipt.value().mDigest },
                 { "offset", receipt.value().mOffset.Value() } });
}

void SendOffset(const Result<Offset>& aAt, HttpResponse& aOut)
{
  if (!aAt) {
    SendFailure(aOut, aAt.error());
    return;
  }
  SendJson(aOut, kStatusOk, json{ { "offset", aAt.value().Value() } });
}

void SignOff(OperatorApi& aApi, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const Result<OperatorId> caller = OperatorHeader(aHttp);
  if (!caller) {
    SendFailure(aOut, caller.error());
    return;
  }
  const std::string digest = aHttp.get_header_value("X-Digest");
  SendOffset(aApi.SignOff(VersionOf(aHttp), digest, caller.value()), aOut);
}

void ShowBundle(OperatorApi& aApi, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const auto bundle = aApi.Published(VersionOf(aHttp));
  if (!bundle) {
    SendFailure(aOut, bundle.error());
    return;
  }
  SendJson(aOut, kStatusOk, BundleToJson(bundle.value()));
}

void ListDomains(OperatorApi& aApi, const HttpRequest&, HttpResponse& aOut)
{
  json domains = json::array();
  for (const DomainView& domain : aApi.Domains()) {
    domains.push_back(DomainToJson(domain));
  }
  SendJson(aOut, kStatusOk, json{ { "domains", std::move(domains) } });
}

void ChangeDomain(OperatorApi& aApi,
                  const HttpRequest& aHttp,
                  HttpResponse& aOut)
{
  const Result<std::string> domain = PathParameter(aHttp, 1, "domain");
  if (!domain) {
    SendFailure(aOut, domain.error());
    return;
  }
  const Result<DomainChanged> change =
    ReadDomainChange(DomainId(domain.value()), aHttp.body);
  if (!change) {
    SendFailure(aOut, change.error());
    return;
  }
  SendOffset(aApi.ChangeDomain(change.value()), aOut);
}

using Handler = void (*)(OperatorApi&, const HttpRequest&, HttpResponse&);

httplib::Server::Handler Bind(OperatorApi& aApi, Handler aHandler)
{
  return [&aApi, aHandler](const HttpRequest& aHttp, HttpResponse& aOut) {
    aHandler(aApi, aHttp, aOut);
  };
}

} // namespace

void AddOperatorRoutes(httplib::Server& aServer, OperatorApi& aOperators)
{
  aServer.Get("/v1/status", Bind(aOperators, &Status));
  aServer.Get("/v1/workers", Bind(aOperators, &Workers));
  aServer.Get("/v1/audit", Bind(aOperators, &Audit));
  aServer.Post("/v1/bundles", Bind(aOperators, &Publish));
  aServer.Post(R"(/v1/bundles/(\d{1,18})/sign-off)",
               Bind(aOperators, &SignOff));
  aServer.Get(R"(/v1/bundles/(\d{1,18}))", Bind(aOperators, &ShowBundle));
  aServer.Get("/v1/domains", Bind(aOperators, &ListDomains));
  aServer.Post(R"(/v1/domains/([^/]+))", Bind(aOperators, &ChangeDomain));
}

} // namespace mulberryvalve
