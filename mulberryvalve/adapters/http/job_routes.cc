#include "mulberryvalve/adapters/http/job_routes.h"

#include "mulberryvalve/adapters/http/http_reply.h"
#include "mulberryvalve/adapters/json/api_json.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kListLimit = 1000;

void Submit(JobApi& aJobs, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const auto submission = ReadSubmission(aHttp.body);
  if (!submission) {
    SendFailure(aOut, submission.error());
    return;
  }
  const Result<JobReceipt> receipt = aJobs.Submit(submission.value());
  if (!receipt) {
    SendFailure(aOut, receipt.error());
    return;
  }
  SendJson(aOut, kStatusOk, ReceiptToJson(receipt.value()));
}

void List(JobApi& aJobs, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const Result<size_t> limit = LimitParameter(aHttp, kListLimit);
  if (!limit) {
    SendFailure(aOut, limit.error());
    return;
  }
  json jobs = json::array();
  for (const JobView& job : aJobs.List(limit.value())) {
    jobs.push_back(JobToJson(job, false));
  }
  SendJson(aOut, kStatusOk, json{ { "jobs", std::move(jobs) } });
}

void Show(JobApi& aJobs, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const Result<std::string> id = PathParameter(aHttp, 1, "job");
  if (!id) {
    SendFailure(aOut, id.error());
    return;
  }
  const Result<JobView> job = aJobs.Status(JobId(id.value()));
  if (!job) {
    SendFailure(aOut, job.error());
    return;
  }
  SendJson(aOut, kStatusOk, JobToJson(job.value(), true));
}

void Cancel(JobApi& aJobs, const HttpRequest& aHttp, HttpResponse& aOut)
{
  const Result<std::string> id = PathParameter(aHttp, 1, "job");
  if (!id) {
    SendFailure(aOut, id.error());
    return;
  }
  const Result<OperatorId> caller = OperatorHeader(aHttp);
  if (!caller) {
    SendFailure(aOut, caller.error());
    return;
  }
  const Result<void> done = aJobs.Cancel(JobId(id.value()), caller.value());
  if (!done) {
    SendFailure(aOut, done.error());
    return;
  }
  SendJson(aOut, kStatusOk, json{ { "cancelling", true } });
}

} // namespace

void AddJobRoutes(httplib::Server& aServer, JobApi& aJobs)
{
  aServer.Post("/v1/jobs", [&aJobs](const auto& aHttp, auto& aOut) {
    Submit(aJobs, aHttp, aOut);
  });
  aServer.Get("/v1/jobs", [&aJobs](const auto& aHttp, auto& aOut) {
    List(aJobs, aHttp, aOut);
  });
  aServer.Get(R"(/v1/jobs/([^/]+))", [&aJobs](const auto& aHttp, auto& aOut) {
    Show(aJobs, aHttp, aOut);
  });
  aServer.Post(
    R"(/v1/jobs/([^/]+)/cancel)",
    [&aJobs](const auto& aHttp, auto& aOut) { Cancel(aJobs, aHttp, aOut); });
}

} // namespace mulberryvalve
