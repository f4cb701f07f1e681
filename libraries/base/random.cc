#include "base/random.h"

#include <cmath>

namespace daisyarch {

namespace {
constexpr double kUnitScale = 1.0 / 9007199254740992.0;  // 2^-53
constexpr int kUnusedBits = 11;
}  // namespace

std::uint64_t NextRandom(Random& random) {
  random.m_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = random.m_state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t NextBelow(Random& random, std::uint64_t bound) {
  return NextRandom(random) % bound;
}

double NextUnit(Random& random) {
  return static_cast<double>(NextRandom(random) >> kUnusedBits) * kUnitScale;
}

double NextExponential(Random& random, double mean) {
  return -mean * std::log(1.0 - NextUnit(random));
}

}  // namespace daisyarch
