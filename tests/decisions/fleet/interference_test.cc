#include "decisions/fleet/interference.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace daisyarch::fleet {

namespace {

const ImageId kShop("shop");
const ImageId kHarmful("harmful");
const ImageId kHarmless("harmless");
constexpr Millicores kCapacity{64000};
constexpr double kBaseMs = 8;
constexpr double kHarmMs = 200;

// The tail follows the harmful filler's share of the worker, with noise.
void Teach(Interference& interference, Random& random, int samples) {
  for (int sample = 0; sample < samples; ++sample) {
    FillerImages fillers;
    const double harmful = NextUnit(random) * 0.2;
    const double harmless = NextUnit(random) * 0.2;
    fillers[kHarmful] = {
        1, Millicores(static_cast<std::int64_t>(harmful * kCapacity.value()))};
    fillers[kHarmless] = {
        1, Millicores(static_cast<std::int64_t>(harmless * kCapacity.value()))};
    ServingImages serving;
    const double noise = NextUnit(random) * 2 - 1;
    serving[kShop] = {1, kBaseMs + kHarmMs * harmful + noise,
                      std::chrono::milliseconds(18)};
    LearnInterference(interference, serving, fillers, kCapacity);
    LearnInterference(interference,
                      {{kShop, {1, kBaseMs, std::chrono::milliseconds(18)}}},
                      {}, kCapacity);
  }
}

}  // namespace

TEST_CASE("Harmful fillers are told from harmless ones beside them") {
  Interference interference;
  Random random{7};
  Teach(interference, random, 300);
  const Millicores tenth(6400);
  const double harmful =
      TailAddedBy(interference, kShop, kHarmful, tenth, kCapacity);
  const double harmless =
      TailAddedBy(interference, kShop, kHarmless, tenth, kCapacity);
  CHECK(harmful == Approx(kHarmMs / 10).margin(6));
  CHECK(harmless < 3);
}

TEST_CASE("A filler may use what the tails beside it can bear") {
  Interference interference;
  Random random{8};
  Teach(interference, random, 300);
  const ServingImages serving = {
      {kShop, {1, kBaseMs, std::chrono::milliseconds(18)}}};
  CHECK(BearableShare(interference, serving, kHarmless, Millicores(3200),
                      kCapacity) == 1.0);
  CHECK(BearableShare(interference, serving, kHarmful, Millicores(12800),
                      kCapacity) < 0.5);
  CHECK(BearableShare(interference, {}, kHarmful, kCapacity, kCapacity) == 1.0);
}

TEST_CASE("A filler that was never seen is tried with care") {
  const Interference interference;
  const ServingImages serving = {
      {kShop, {1, kBaseMs, std::chrono::milliseconds(18)}}};
  const double share = BearableShare(interference, serving, ImageId("new"),
                                     Millicores(12800), kCapacity);
  CHECK(share > 0);
  CHECK(share < 1);
}

}  // namespace daisyarch::fleet
