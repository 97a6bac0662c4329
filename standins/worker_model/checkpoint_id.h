// Checkpoint ids, which encode the saved progress.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryvalve::standins {

// Formats `PROGRESS_MS@LEASE`.
std::string MakeCheckpointId(int64_t aProgressMs, const std::string& aLease);

// The progress saved in a checkpoint, in ms; nullopt if the id is malformed.
std::optional<int64_t> CheckpointProgressMs(std::string_view aCheckpoint);

} // namespace mulberryvalve::standins
