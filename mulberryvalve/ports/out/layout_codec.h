// LayoutCodec: encodes the sizes of the cluster's instances as records of the
// platform's log.
#ifndef MULBERRYVALVE_PORTS_OUT_LAYOUT_CODEC_H_
#define MULBERRYVALVE_PORTS_OUT_LAYOUT_CODEC_H_

#include "mulberryvalve/core/jobs/cluster_layout.h"
#include "mulberryvalve/ports/out/keyed_log.h"

namespace mulberryvalve {

// CpuCapacityRecord records that an instance with this CPU capacity has
// started. Instances of the same capacity share a record.
struct CpuCapacityRecord
{
  MilliCores mProcessor = 0;
};

// LayoutCodec encodes and decodes layout records. Decoding an encoded record
// yields an equal value. Implementations are immutable and therefore
// thread-safe. Errors of decoding: kMalformed.
class LayoutCodec
{
public:
  virtual ~LayoutCodec() = default;

  virtual KeyedEntry Encode(const CpuCapacityRecord& aNote) const = 0;

  virtual Result<CpuCapacityRecord> DecodeLayout(
    const KeyedEntry& aEntry) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_LAYOUT_CODEC_H_
