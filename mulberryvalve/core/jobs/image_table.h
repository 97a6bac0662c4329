// Assigns dense numbers to images.
#ifndef MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_
#define MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_

#include "mulberryvalve/core/jobs/job_graph.h"

#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// ImageTable maps images to numbers and back. Not synchronised.
class ImageTable
{
public:
  // NumberOf returns the number of aImage; an image not seen before gets the
  // next free number.
  ImageNumber NumberOf(const ImageId& aImage)
  {
    const auto next = static_cast<ImageNumber>(mNumbers.size());
    const auto [found, isNew] = mNumbers.try_emplace(aImage, next);
    if (isNew) {
      mNames.push_back(aImage);
    }
    return found->second;
  }

  // NameOf returns the image with number aNumber, which NumberOf must have
  // returned before.
  const ImageId& NameOf(ImageNumber aNumber) const { return mNames[aNumber]; }

private:
  std::unordered_map<ImageId, ImageNumber> mNumbers;
  std::vector<ImageId> mNames;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_
