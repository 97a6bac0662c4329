// InterferenceBook: how much tasks that fill slow down tasks that serve,
// learned by pairs of images. It answers the pattern of batch work of which
// some kinds disturb some services heavily and most hardly at all.
#ifndef MULBERRYVALVE_CORE_JOBS_INTERFERENCE_BOOK_H_
#define MULBERRYVALVE_CORE_JOBS_INTERFERENCE_BOOK_H_

#include "mulberryvalve/core/jobs/image_table.h"
#include "mulberryvalve/core/jobs/learned_record.h"

#include <map>
#include <vector>

namespace mulberryvalve {

// FillingShare is the share of a worker's processors that tasks of one image
// that fill take, from 0 to 1.
struct FillingShare
{
  ImageNumber mImage = 0;
  double mShare = 0;
};

// InterferenceBook is not synchronised.
//
// A serving task is taken for a queue: with the load L (0 to 1) its tail is its
// least tail divided by 1 - L. Tasks beside it raise L by a factor of 1 plus
// their pressure, which is the sum of their shares, each weighted by the pair
// of images.
class InterferenceBook
{
public:
  // LoadOf returns the load that a tail of aTail milliseconds tells of, and
  // takes the tail in as one of the image's. aTail must be above zero.
  double LoadOf(ImageNumber aServing, int64_t aTail);

  // LimitOf returns the load at which a tail of aTarget milliseconds is
  // reached.
  double LimitOf(ImageNumber aServing, int64_t aTarget) const;

  // Learn takes in that a task of aServing had aExcess more load than its
  // undisturbed siblings (0.5 is half as much again) beside aBestEffort.
  void Learn(ImageNumber aServing,
             double aExcess,
             const std::vector<FillingShare>& aBestEffort);

  // Weight returns the pressure of a whole worker's share of aBestEffort on
  // aServing.
  double Weight(ImageNumber aServing, ImageNumber aBestEffort) const;

  // Pressure sums over what fills.
  double Pressure(ImageNumber aServing,
                  const std::vector<FillingShare>& aBestEffort) const;

  // Version changes whenever a pressure may have changed.
  uint64_t Version() const { return mVersion; }

  // Save adds what is known to aRecord, by the names of aImages; Restore takes
  // it back.
  void Save(const ImageTable& aImages, LearnedRecord& aRecord) const;
  void Restore(const LearnedRecord& aRecord, ImageTable& aImages);

private:
  // PairWeight is what is known of one pair. The more observations it rests
  // on, the less one more of them changes it.
  struct PairWeight
  {
    double mWeight = 0;
    int mObservations = 0;
  };

  PairWeight& PairAt(ImageNumber aServing, ImageNumber aBestEffort);

  // By serving image, then by image that fills; pairs beyond the end were not
  // seen yet.
  std::vector<std::vector<PairWeight>> mPairs;
  std::map<ImageNumber, int64_t> mMinTails;
  uint64_t mVersion = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_INTERFERENCE_BOOK_H_
