// JSON bodies of the HTTP interface for callers and operators.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_API_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_API_JSON_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/ports/in/job_api.h"
#include "mulberryvalve/ports/in/operator_api.h"

#include <nlohmann/json.hpp>
#include <string>

namespace mulberryvalve {

// OutcomeToJson encodes the outcome of a request without the upstream's body.
nlohmann::json OutcomeToJson(const RequestOutcome& aOutcome);

// ReceiptToJson encodes the id of a job and the shard and offset that store it.
nlohmann::json ReceiptToJson(const JobReceipt& aReceipt);

// JobToJson encodes a job; with aHistory, also the state changes of and the
// decisions about each task.
nlohmann::json JobToJson(const JobView& aJob, bool aHistory);

// StatusToJson encodes the status of an instance.
nlohmann::json StatusToJson(const InstanceStatus& aStatus);

// DomainToJson encodes the status of a failure domain.
nlohmann::json DomainToJson(const DomainView& aDomain);

// BundleToJson encodes a published bundle.
nlohmann::json BundleToJson(const PublishedBundle& aBundle);

// PublishFailureToJson encodes why a bundle was rejected, with all its faults.
nlohmann::json PublishFailureToJson(const PublishFailure& aFailure);

// AuditToJson encodes a page of the audit log.
nlohmann::json AuditToJson(const AuditPage& aPage);

// ReadSubmission decodes a job submission. Errors: kMalformed, kTooLarge,
// kInvalidInput with the field.
Result<JobSubmission> ReadSubmission(const std::string& aBody);

// ReadDomainChange decodes a state change of aDomain. Errors: those of
// ReadSubmission.
Result<DomainChanged> ReadDomainChange(const DomainId& aDomain,
                                       const std::string& aBody);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_API_JSON_H_
