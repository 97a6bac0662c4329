// Learns, by pairs of images, how much best-effort tasks slow down the serving
// tasks beside them. Some kinds of batch work disturb some services heavily and
// most of them hardly at all.
#ifndef MULBERRYVALVE_CORE_JOBS_INTERFERENCE_ESTIMATOR_H_
#define MULBERRYVALVE_CORE_JOBS_INTERFERENCE_ESTIMATOR_H_

#include "mulberryvalve/core/jobs/image_table.h"
#include "mulberryvalve/core/jobs/learned_record.h"

#include <map>
#include <vector>

namespace mulberryvalve {

// BestEffortShare is the share of a worker's CPU that best-effort tasks of one
// image use, from 0 to 1.
struct BestEffortShare
{
  ImageNumber mImage = 0;
  double mShare = 0;
};

// InterferenceEstimator is not synchronised.
//
// A serving task is modelled as a queue: at load L (0 to 1) its tail latency is
// its idle tail latency divided by 1 - L. Best-effort tasks on the same worker
// multiply L by 1 plus their pressure: the sum of their CPU shares, each
// multiplied by the weight of the pair of images.
class InterferenceEstimator
{
public:
  // LoadFromTail returns the load that corresponds to a tail latency of aTail
  // milliseconds, which must be above zero. It also updates the lowest tail
  // latency observed for the image.
  double LoadFromTail(ImageNumber aServing, int64_t aTail);

  // LoadLimit returns the load at which the tail latency reaches aTarget
  // milliseconds.
  double LoadLimit(ImageNumber aServing, int64_t aTarget) const;

  // Learn updates the weights with an observation: beside aBestEffort a task of
  // aServing had aExcess more load than its undisturbed siblings (0.5 means
  // half as much again).
  void Learn(ImageNumber aServing,
             double aExcess,
             const std::vector<BestEffortShare>& aBestEffort);

  // Weight returns the pressure that best-effort tasks of image aBestEffort put
  // on aServing if they use a whole worker.
  double Weight(ImageNumber aServing, ImageNumber aBestEffort) const;

  // Pressure returns the total pressure of aBestEffort on aServing.
  double Pressure(ImageNumber aServing,
                  const std::vector<BestEffortShare>& aBestEffort) const;

  // Version changes whenever a pressure may have changed.
  uint64_t Version() const { return mVersion; }

  // Save adds what was learned to aRecord, with images by name; Restore loads
  // it.
  void Save(const ImageTable& aImages, LearnedRecord& aRecord) const;
  void Restore(const LearnedRecord& aRecord, ImageTable& aImages);

private:
  // PairWeight is what was learned about one pair. The more observations it is
  // based on, the less a further one changes it.
  struct PairWeight
  {
    double mWeight = 0;
    int mObservations = 0;
  };

  PairWeight& PairAt(ImageNumber aServing, ImageNumber aBestEffort);

  // Indexed by serving image, then by best-effort image. Pairs beyond the end
  // were never observed.
  std::vector<std::vector<PairWeight>> mPairs;
  std::map<ImageNumber, int64_t> mMinTails;
  uint64_t mVersion = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_INTERFERENCE_ESTIMATOR_H_
