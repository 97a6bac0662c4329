// Identifier and number types shared by records and messages.
#ifndef MULBERRYVALVE_CORE_MODEL_IDS_H_
#define MULBERRYVALVE_CORE_MODEL_IDS_H_

#include "mulberryvalve/core/base/strong_id.h"

#include <cstdint>

namespace mulberryvalve {

using InstanceId = StrongId<struct InstanceIdTag>;
using DomainId = StrongId<struct DomainIdTag>;
using RackId = StrongId<struct RackIdTag>;
using WorkerId = StrongId<struct WorkerIdTag>;
using JobId = StrongId<struct JobIdTag>;
using TaskId = StrongId<struct TaskIdTag>;
using LeaseId = StrongId<struct LeaseIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
using TaskClass = StrongId<struct TaskClassTag>;
using CheckpointId = StrongId<struct CheckpointIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using AttemptId = StrongId<struct AttemptIdTag>;
using OperatorId = StrongId<struct OperatorIdTag>;
using StreamName = StrongId<struct StreamNameTag>;
using ShardId = StrongId<struct ShardIdTag>;

// Offset is a record's position in a log stream; the first record has offset 1.
using Offset = StrongNumber<struct OffsetTag>;

// Epoch is the offset of the ShardClaimed record that made the current owner of
// a shard; it fences the writes of earlier owners.
using Epoch = StrongNumber<struct EpochTag>;

// ShardNumber numbers the shards of jobs and workers from 0.
using ShardNumber = uint32_t;

// Attempt numbers the placements of one task, starting at 1.
using Attempt = StrongNumber<struct AttemptTag>;

// Incarnation distinguishes the successive process runs of one instance.
using Incarnation = StrongNumber<struct IncarnationTag>;

// BundleVersion is the version of a configuration bundle. Operators choose it.
using BundleVersion = StrongNumber<struct BundleVersionTag>;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_IDS_H_
