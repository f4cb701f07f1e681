#include "decisions/fleet/interference.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace daisyarch::fleet {

namespace {

const ImageId kShop("shop");
const ImageId kHarmful("harmful");
const ImageId kHarmless("harmless");
constexpr Millicores kCapacity{64000};
constexpr std::int64_t kTargetMs = 18;
constexpr double kUndisturbed = 2.2;
constexpr double kTakenByHarmful = 10;

Millicores Share(double share) {
  return Millicores(static_cast<std::int64_t>(share * kCapacity.value()));
}

FillerImage Filler(double share) { return {1, Share(share), Share(share)}; }

// A serving task whose tail leaves it this headroom.
ServingImages Shop(double headroom) {
  ServingImage shop;
  shop.m_count = 1;
  shop.m_target = std::chrono::milliseconds(kTargetMs);
  shop.m_tail_ms = shop.m_mean_tail_ms =
      static_cast<double>(kTargetMs) / headroom;
  return {{kShop, shop}};
}

// The harmful filler takes headroom by its share of the worker, with noise.
void Teach(Interference& interference, Random& random, int samples) {
  for (int sample = 0; sample < samples; ++sample) {
    const double harmful = NextUnit(random) * 0.1;
    const double harmless = NextUnit(random) * 0.3;
    const double noise = (NextUnit(random) - 0.5) * 0.6;
    ServingImages serving =
        Shop(kUndisturbed - kTakenByHarmful * harmful + noise);
    LearnInterference(
        interference, serving,
        {{kHarmful, Filler(harmful)}, {kHarmless, Filler(harmless)}},
        kCapacity);
  }
}

Bearing BearingBeside(const Interference& interference,
                      const ServingImages& serving, const FillerImages& fillers,
                      const ImageId& filler, double share) {
  const auto headrooms =
      HeadroomsBeside(interference, serving, fillers, kCapacity);
  REQUIRE(headrooms.size() == 1);
  return BearingOf(interference, headrooms.front(), filler, Share(share),
                   kCapacity);
}

Bearing BearingBeside(const Interference& interference, const ImageId& filler,
                      double share) {
  return BearingBeside(interference, Shop(kUndisturbed), {}, filler, share);
}

}  // namespace

TEST_CASE("Harmful fillers are told from harmless ones beside them") {
  Interference interference;
  Random random{7};
  Teach(interference, random, 300);
  CHECK(HeadroomTakenBy(interference, kShop, kHarmful, Share(0.1), kCapacity) ==
        Approx(kTakenByHarmful * 0.1).margin(0.3));
  CHECK(HeadroomTakenBy(interference, kShop, kHarmless, Share(0.1), kCapacity) <
        0.2);
  CHECK(Exclusiveness(interference, Shop(kUndisturbed)) == 0.5);
  CHECK(Exclusiveness(interference, {}) == 0.0);
}

TEST_CASE("Serving tasks bear what leaves their tails under the target") {
  Interference interference;
  Random random{8};
  Teach(interference, random, 300);
  CHECK(BearingBeside(interference, kHarmless, 0.3) == Bearing::kBears);
  CHECK(BearingBeside(interference, kHarmful, 0.15) == Bearing::kSuffers);
  CHECK(HeadroomsBeside(interference, {}, {}, kCapacity).empty());
}

TEST_CASE("Fillers that are already there count, also before they show") {
  Interference interference;
  Random random{9};
  Teach(interference, random, 300);
  FillerImage placed = Filler(0.05);
  CHECK(BearingBeside(interference, Shop(kUndisturbed), {{kHarmful, placed}},
                      kHarmful, 0.02) == Bearing::kBears);
  placed.m_demand = Share(0.1);
  placed.m_used = Millicores(0);
  CHECK(BearingBeside(interference, Shop(kUndisturbed), {{kHarmful, placed}},
                      kHarmful, 0.02) == Bearing::kSuffers);
}

TEST_CASE("Serving tasks under more load than usual bear less") {
  Interference interference;
  Random random{10};
  Teach(interference, random, 300);
  ServingImages serving = Shop(kUndisturbed);
  CHECK(BearingBeside(interference, serving, {}, kHarmful, 0.05) ==
        Bearing::kBears);
  serving.begin()->second.m_deviation = -0.7;
  CHECK(BearingBeside(interference, serving, {}, kHarmful, 0.05) ==
        Bearing::kSuffers);
}

TEST_CASE("A pair that was never seen is uncertain until it has been read") {
  Interference interference;
  Random random{11};
  Teach(interference, random, 300);
  const ImageId fresh("fresh");
  CHECK(BearingBeside(interference, fresh, 0.1) == Bearing::kUncertain);
  for (int reading = 0; reading < 4; ++reading) {
    ServingImages serving = Shop(0.5);
    LearnInterference(interference, serving, {{fresh, Filler(0.1)}}, kCapacity);
  }
  CHECK(BearingBeside(interference, fresh, 0.1) == Bearing::kSuffers);
  // What is well known took little of the blame.
  CHECK(BearingBeside(interference, kHarmless, 0.3) == Bearing::kBears);
}

}  // namespace daisyarch::fleet
