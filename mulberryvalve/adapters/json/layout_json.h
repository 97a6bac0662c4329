// LayoutJson: JSON encoding of the records of KeyedTopic::kLayout.
#ifndef MULBERRYVALVE_ADAPTERS_JSON_LAYOUT_JSON_H_
#define MULBERRYVALVE_ADAPTERS_JSON_LAYOUT_JSON_H_

#include "mulberryvalve/ports/out/layout_codec.h"

namespace mulberryvalve {

// LayoutJson implements LayoutCodec. Thread-safe.
class LayoutJson : public LayoutCodec
{
public:
  KeyedEntry Encode(const CpuCapacityRecord& aCapacity) const override;
  Result<CpuCapacityRecord> DecodeLayout(
    const KeyedEntry& aEntry) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_JSON_LAYOUT_JSON_H_
