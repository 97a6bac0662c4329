#include "standins/worker_model/checkpoint_id.h"

#include <charconv>

namespace mulberryvalve::standins {

std::string MakeCheckpointId(int64_t aProgressMs, const std::string& aLease)
{
  return std::to_string(aProgressMs) + "@" + aLease;
}

std::optional<int64_t> CheckpointProgressMs(std::string_view aCheckpoint)
{
  const size_t at = aCheckpoint.find('@');
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const char* last = aCheckpoint.data() + at;
  int64_t progressMs = 0;
  const auto [end, error] =
    std::from_chars(aCheckpoint.data(), last, progressMs);
  if (error != std::errc() || end != last || progressMs < 0) {
    return std::nullopt;
  }
  return progressMs;
}

} // namespace mulberryvalve::standins
