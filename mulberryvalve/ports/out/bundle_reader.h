// BundleReader: parses and validates a bundle document.
#ifndef MULBERRYVALVE_PORTS_OUT_BUNDLE_READER_H_
#define MULBERRYVALVE_PORTS_OUT_BUNDLE_READER_H_

#include "mulberryvalve/core/bundle/bundle.h"
#include "mulberryvalve/core/bundle/bundle_fault.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// CheckedBundle is a parsed bundle. It is valid only if mFaults is empty.
struct CheckedBundle
{
  Bundle mBundle;
  std::vector<BundleFault> mFaults;
};

// BundleReader parses bundle documents. Implementations are thread-safe.
class BundleReader
{
public:
  virtual ~BundleReader() = default;

  // Read parses aDocument and reports every fault with its path.
  virtual CheckedBundle Read(const std::string& aDocument) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_BUNDLE_READER_H_
