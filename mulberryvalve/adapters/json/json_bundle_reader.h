// JsonBundleReader: decodes bundles from JSON documents.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_JSON_BUNDLE_READER_H_
#define MULBERRYVALVE_ADAPTERS_JSON_JSON_BUNDLE_READER_H_

#include "mulberryvalve/ports/out/bundle_reader.h"

namespace mulberryvalve {

inline constexpr size_t kMaxBundleBytes = 256 * 1024;

// JsonBundleReader implements BundleReader. Thread-safe.
class JsonBundleReader : public BundleReader
{
public:
  CheckedBundle Read(const std::string& aDocument) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_JSON_BUNDLE_READER_H_
