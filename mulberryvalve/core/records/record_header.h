// WriterId and RecordHeader: the writer of a record and its sequence number.
#ifndef MULBERRYVALVE_CORE_RECORDS_RECORD_HEADER_H_
#define MULBERRYVALVE_CORE_RECORDS_RECORD_HEADER_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstdint>

namespace mulberryvalve {

// WriterId identifies one process run of an instance. Together with a sequence
// number it identifies a record, so that a repeated append is applied once.
struct WriterId
{
  InstanceId mInstance;
  Incarnation mIncarnation;

  friend bool operator==(const WriterId& aLeft, const WriterId& aRight)
  {
    return aLeft.mInstance == aRight.mInstance &&
           aLeft.mIncarnation == aRight.mIncarnation;
  }
  friend bool operator!=(const WriterId& aLeft, const WriterId& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const WriterId& aLeft, const WriterId& aRight)
  {
    if (aLeft.mInstance != aRight.mInstance) {
      return aLeft.mInstance < aRight.mInstance;
    }
    return aLeft.mIncarnation < aRight.mIncarnation;
  }
};

// RecordHeader precedes every record. mEpoch is zero for records that need no
// ownership; a record with an epoch other than the shard's current one has no
// effect. mWritten is informational.
struct RecordHeader
{
  WriterId mWriter;
  uint64_t mSequence = 0;
  Epoch mEpoch;
  WallTime mWritten;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECORDS_RECORD_HEADER_H_
