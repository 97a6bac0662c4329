// View reports: formats status, workers and audit records as text.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_VIEW_REPORT_H_
#define MULBERRYVALVE_ADAPTERS_CLI_VIEW_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace mulberryvalve {

// StatusText returns the status of an instance. Thread-safe.
std::string StatusText(const nlohmann::json& aStatus);

// WorkersText returns one line per worker. Thread-safe.
std::string WorkersText(const nlohmann::json& aWorkers);

// AuditText returns the changes with time, author, old and new value and
// reason, newest first. Thread-safe.
std::string AuditText(const nlohmann::json& aAudit);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_VIEW_REPORT_H_
