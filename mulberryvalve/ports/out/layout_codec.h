// LayoutCodec: the make-up of the cluster as records of the platform's log.
#ifndef MULBERRYVALVE_PORTS_OUT_LAYOUT_CODEC_H_
#define MULBERRYVALVE_PORTS_OUT_LAYOUT_CODEC_H_

#include "mulberryvalve/core/jobs/cluster_layout.h"
#include "mulberryvalve/ports/out/keyed_log.h"

namespace mulberryvalve {

// ProcessorNote says that an instance with this processor has started. Notes of
// the same size share a record.
struct ProcessorNote
{
  MilliCores mProcessor = 0;
};

// LayoutCodec's implementations are immutable, so thread-safe. What is encoded
// decodes to the same. Errors of decoding: kMalformed.
class LayoutCodec
{
public:
  virtual ~LayoutCodec() = default;

  virtual KeyedEntry Encode(const ProcessorNote& aNote) const = 0;

  virtual Result<ProcessorNote> DecodeLayout(
    const KeyedEntry& aEntry) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_LAYOUT_CODEC_H_
