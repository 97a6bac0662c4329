// SortByRank: sorts waiting steps by a rank that is computed once for each.
#ifndef MULBERRYVALVE_CORE_JOBS_SORT_BY_RANK_H_
#define MULBERRYVALVE_CORE_JOBS_SORT_BY_RANK_H_

#include "mulberryvalve/core/jobs/queueing_policy.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberryvalve {

// Sorts aSteps by what aRankOf returns for each, the lowest first, and those of
// equal rank in order of acceptance. The type of a rank has == and <.
template<typename RankOf>
void SortByRank(std::vector<WaitingStep>& aSteps, RankOf aRankOf)
{
  using Rank = decltype(aRankOf(aSteps.front()));
  std::vector<std::pair<Rank, const WaitingStep*>> ranked;
  ranked.reserve(aSteps.size());
  for (const WaitingStep& step : aSteps) {
    ranked.emplace_back(aRankOf(step), &step);
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first == aRight.first
               ? aLeft.second->mStep < aRight.second->mStep
               : aLeft.first < aRight.first;
    });
  std::vector<WaitingStep> sorted;
  sorted.reserve(aSteps.size());
  for (const auto& [rank, step] : ranked) {
    sorted.push_back(*step);
  }
  aSteps = std::move(sorted);
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SORT_BY_RANK_H_
