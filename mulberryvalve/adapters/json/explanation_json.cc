#include "mulberryvalve/adapters/json/explanation_json.h"

#include <utility>

namespace mulberryvalve {
namespace {

using nlohmann::json;

json DecisionToJson(const Decision& aDecision, MonotonicTime aNow)
{
  const auto age =
    std::chrono::duration_cast<Milliseconds>(aNow - aDecision.mAt);
  json object{ { "kind", kDecisionKindNames.Name(aDecision.mKind) },
               { "ago_ms", age.count() },
               { "attempt", aDecision.mAttempt.Value() },
               { "worker", aDecision.mWorker.Text() },
               { "throttle_percent", aDecision.mThrottlePercent } };
  if (aDecision.mCause) {
    object["cause"] = kEvictionCauseNames.Name(*aDecision.mCause);
  }
  json candidates = json::array();
  for (const CandidateScore& score : aDecision.mCandidates) {
    candidates.push_back({ { "worker", score.mWorker.Text() },
                           { "interference", score.mInterference },
                           { "spread", score.mSpread },
                           { "fragmentation", score.mFragmentation },
                           { "checkpoint", score.mCheckpoint },
                           { "total", score.Total() } });
  }
  object["candidates"] = std::move(candidates);
  json bounds = json::array();
  for (const ConstraintCount& row : aDecision.mConstraintCounts) {
    bounds.push_back(
      { { "bound", kPlacementConstraintNames.Name(row.mConstraint) },
        { "workers", row.mWorkers } });
  }
  object["ruled_out"] = std::move(bounds);
  json nearest = json::array();
  for (const WorkerId& worker : aDecision.mNearest) {
    nearest.push_back(worker.Text());
  }
  object["nearest"] = std::move(nearest);
  return object;
}

} // namespace

json DecisionsToJson(const Explanation& aExplanation, MonotonicTime aNow)
{
  json decisions = json::array();
  for (const Decision& decision : aExplanation.mDecisions) {
    decisions.push_back(DecisionToJson(decision, aNow));
  }
  return decisions;
}

} // namespace mulberryvalve
