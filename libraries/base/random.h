#pragma once

#include <cstdint>

namespace daisyarch {

/// A SplitMix64 generator; the same seed gives the same sequence of numbers.
struct Random {
  std::uint64_t m_state = 0;  ///< Initially the seed.
};

/// Returns 64 random bits.
std::uint64_t NextRandom(Random& random);

/// Returns an integer in [0, bound); `bound` must be positive.
std::uint64_t NextBelow(Random& random, std::uint64_t bound);

/// Returns a number in [0, 1).
double NextUnit(Random& random);

/// Returns a sample of the exponential distribution with the given mean.
double NextExponential(Random& random, double mean);

}  // namespace daisyarch
