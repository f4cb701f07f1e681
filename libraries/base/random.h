#pragma once

#include <cstdint>

namespace daisyarch {

/// A seeded generator (SplitMix64); the same seed gives the same numbers.
struct Random {
  std::uint64_t m_state = 0;
};

/// The next 64 random bits.
std::uint64_t NextRandom(Random& random);

/// A number in [0, bound); `bound` must be positive.
std::uint64_t NextBelow(Random& random, std::uint64_t bound);

/// A number in [0, 1).
double NextUnit(Random& random);

/// A sample of the exponential distribution with the given mean.
double NextExponential(Random& random, double mean);

}  // namespace daisyarch
