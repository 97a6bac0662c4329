#include "bench/placement/policies.h"

#include <string>
#include <utility>

namespace mulberryvalve::bench {

bool ServesRequests(PolicyKind aKind, const WorkerSpec& aWorker)
{
  const std::string& id = aWorker.mId.Text();
  const int number = std::stoi(id.substr(id.rfind('-') + 1));
  return aKind != PolicyKind::kSeparateBatch || number % 2 == 0;
}

std::unique_ptr<PlacementPolicy> MakeBaseline(PolicyKind aKind,
                                              AdvisoryLoad aLoad)
{
  switch (aKind) {
    case PolicyKind::kFirstFit:
      return std::make_unique<FirstFitPolicy>();
    case PolicyKind::kLeastLoaded:
    case PolicyKind::kLargerReserve:
      return std::make_unique<LeastLoadedPolicy>();
    case PolicyKind::kBestFit:
      return std::make_unique<BestFitPolicy>();
    case PolicyKind::kTwoChoices:
      return std::make_unique<TwoChoicesPlacementPolicy>(std::move(aLoad));
    case PolicyKind::kSeparateBatch:
      return std::make_unique<SeparateBatchPolicy>([](const WorkerSpec& aSpec) {
        return !ServesRequests(PolicyKind::kSeparateBatch, aSpec);
      });
    case PolicyKind::kLearned:
      return nullptr;
  }
  return nullptr;
}

} // namespace mulberryvalve::bench
