// Resources: the capacity of a worker or the demand of a task.
#ifndef MULBERRYVALVE_CORE_MODEL_RESOURCES_H_
#define MULBERRYVALVE_CORE_MODEL_RESOURCES_H_

#include <cstdint>

namespace mulberryvalve {

// Resources is an amount of processor (thousandths of a core), memory (MB) and
// accelerators. A value type; not synchronised.
struct Resources
{
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;

  // FitsIn returns whether no component exceeds that of aAvailable.
  bool FitsIn(const Resources& aAvailable) const
  {
    return mCpuMillis <= aAvailable.mCpuMillis &&
           mMemoryMb <= aAvailable.mMemoryMb &&
           mAccelerators <= aAvailable.mAccelerators;
  }

  Resources& operator+=(const Resources& aOther)
  {
    mCpuMillis += aOther.mCpuMillis;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  Resources& operator-=(const Resources& aOther)
  {
    mCpuMillis -= aOther.mCpuMillis;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  friend Resources operator+(Resources aLeft, const Resources& aRight)
  {
    return aLeft += aRight;
  }
  friend Resources operator-(Resources aLeft, const Resources& aRight)
  {
    return aLeft -= aRight;
  }
  friend bool operator==(const Resources& aLeft, const Resources& aRight)
  {
    return aLeft.mCpuMillis == aRight.mCpuMillis &&
           aLeft.mMemoryMb == aRight.mMemoryMb &&
           aLeft.mAccelerators == aRight.mAccelerators;
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_RESOURCES_H_
