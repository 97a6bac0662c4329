// ImageTable: numbers for images.
#ifndef MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_
#define MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_

#include "mulberryvalve/core/jobs/job_graph.h"

#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// ImageTable is not synchronised.
class ImageTable
{
public:
  // NumberOf returns the number of an image; a new image gets the next one.
  ImageNumber NumberOf(const ImageId& aImage)
  {
    const auto next = static_cast<ImageNumber>(mNumbers.size());
    const auto [found, isNew] = mNumbers.try_emplace(aImage, next);
    if (isNew) {
      mNames.push_back(aImage);
    }
    return found->second;
  }

  // NameOf returns the image of a number that NumberOf gave.
  const ImageId& NameOf(ImageNumber aNumber) const { return mNames[aNumber]; }

private:
  std::unordered_map<ImageId, ImageNumber> mNumbers;
  std::vector<ImageId> mNames;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_
