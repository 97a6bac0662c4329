// Wholes of the scales in which the code keeps shares as integers.
#ifndef MULBERRYVALVE_CORE_BASE_SCALE_H_
#define MULBERRYVALVE_CORE_BASE_SCALE_H_

#include <cstdint>

namespace mulberryvalve {

inline constexpr int64_t kPercent = 100;
inline constexpr int64_t kPerMille = 1000;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BASE_SCALE_H_
