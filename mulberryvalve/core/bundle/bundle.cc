#include "mulberryvalve/core/bundle/bundle.h"

#include <cstdio>
#include <xxhash.h>

namespace mulberryvalve {

std::string BundleDigest(const std::string& aDocument)
{
  const XXH128_hash_t hash = XXH3_128bits(aDocument.data(), aDocument.size());
  char text[33];
  std::snprintf(text,
                sizeof text,
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

} // namespace mulberryvalve
