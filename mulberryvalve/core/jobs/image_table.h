// ImageTable: numbers for images.
#ifndef MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_
#define MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_

#include "mulberryvalve/core/jobs/job_graph.h"

#include <unordered_map>

namespace mulberryvalve {

// ImageTable is not synchronised.
class ImageTable
{
public:
  // NumberOf returns the number of an image; a new image gets the next one.
  ImageNumber NumberOf(const ImageId& aImage)
  {
    const auto next = static_cast<ImageNumber>(mNumbers.size());
    return mNumbers.try_emplace(aImage, next).first->second;
  }

private:
  std::unordered_map<ImageId, ImageNumber> mNumbers;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_IMAGE_TABLE_H_
