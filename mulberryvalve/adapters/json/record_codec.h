// Record codec: encodes each log record as the text of a JSON object.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_RECORD_CODEC_H_
#define MULBERRYVALVE_ADAPTERS_JSON_RECORD_CODEC_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/records/record.h"

#include <string>
#include <string_view>

namespace mulberryvalve {

// Maximum size of the text of a record.
inline constexpr size_t kMaxRecordBytes = 1024 * 1024;

// EncodeRecord returns aRecord as JSON text; invalid UTF-8 is replaced.
// Thread-safe.
std::string EncodeRecord(const LogRecord& aRecord);

// DecodeRecord decodes the output of EncodeRecord. Errors: kMalformed,
// kTooLarge, kInvalidInput with the field. Thread-safe.
Result<LogRecord> DecodeRecord(std::string_view aText);

// RecordName returns the name of the type of aRecord, as in its encoding.
std::string_view RecordName(const Record& aRecord);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_RECORD_CODEC_H_
