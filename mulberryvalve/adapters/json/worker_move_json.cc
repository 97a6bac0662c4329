#include "mulberryvalve/adapters/json/worker_move_json.h"

#include "mulberryvalve/adapters/json/json_reader.h"

#include <limits>

namespace mulberryvalve {
namespace {

constexpr int64_t kMaxShard = std::numeric_limits<ShardNumber>::max();
constexpr int64_t kMaxNumber = std::numeric_limits<int64_t>::max();

} // namespace

nlohmann::json MoveToJson(const WorkerMove& aMove)
{
  return nlohmann::json{ { "from", aMove.mFrom },
                         { "to", aMove.mTo },
                         { "home", aMove.mHome },
                         { "number", aMove.mNumber },
                         { "token_base", aMove.mTokenBase } };
}

Result<WorkerMove> MoveFromJson(const WorkerId& aWorker,
                                const nlohmann::json& aObject)
{
  JsonReader reader(aObject);
  WorkerMove move;
  move.mWorker = aWorker;
  move.mFrom = static_cast<ShardNumber>(reader.Number("from", 0, kMaxShard));
  move.mTo = static_cast<ShardNumber>(reader.Number("to", 0, kMaxShard));
  move.mHome = static_cast<ShardNumber>(reader.Number("home", 0, kMaxShard));
  move.mNumber = static_cast<uint64_t>(reader.Number("number", 1, kMaxNumber));
  move.mTokenBase =
    static_cast<uint64_t>(reader.Number("token_base", 1, kMaxNumber));
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return move;
}

} // namespace mulberryvalve
