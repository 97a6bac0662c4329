// RandomSource: random numbers for jitter and sampling.
#ifndef MULBERRYVALVE_PORTS_OUT_RANDOM_SOURCE_H_
#define MULBERRYVALVE_PORTS_OUT_RANDOM_SOURCE_H_

#include <cstdint>

namespace mulberryvalve {

// RandomSource generates uniform random numbers. Implementations are
// thread-safe and may be seeded for reproducible runs.
class RandomSource
{
public:
  virtual ~RandomSource() = default;

  // Below returns a uniform number in [0, aBound). Precondition: aBound > 0.
  virtual uint64_t Below(uint64_t aBound) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_RANDOM_SOURCE_H_
