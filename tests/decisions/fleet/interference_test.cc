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

BestEffortImage BestEffortUse(double share) {
  return {1, Share(share), Share(share)};
}

// A serving task whose tail leaves it this headroom.
ServingImages Shop(double headroom) {
  ServingImage shop;
  shop.m_count = 1;
  shop.m_target = std::chrono::milliseconds(kTargetMs);
  shop.m_tail_latency_ms = shop.m_mean_tail_latency_ms =
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
    LearnInterference(interference, serving,
                      {{kHarmful, BestEffortUse(harmful)},
                       {kHarmless, BestEffortUse(harmless)}},
                      kCapacity);
  }
}

Compatibility BearingBeside(const Interference& interference,
                            const ServingImages& serving,
                            const BestEffortImages& best_effort,
                            const ImageId& best_effort_image, double share) {
  const auto headrooms =
      ExpectedHeadrooms(interference, serving, best_effort, kCapacity);
  REQUIRE(headrooms.size() == 1);
  return CompatibilityOf(interference, headrooms.front(), best_effort_image,
                         Share(share), kCapacity);
}

Compatibility BearingBeside(const Interference& interference,
                            const ImageId& best_effort_image, double share) {
  return BearingBeside(interference, Shop(kUndisturbed), {}, best_effort_image,
                       share);
}

}  // namespace

TEST_CASE("Harmful fillers are told from harmless ones beside them") {
  Interference interference;
  Random random{7};
  Teach(interference, random, 300);
  CHECK(HeadroomLoss(interference, kShop, kHarmful, Share(0.1), kCapacity) ==
        Approx(kTakenByHarmful * 0.1).margin(0.3));
  CHECK(HeadroomLoss(interference, kShop, kHarmless, Share(0.1), kCapacity) <
        0.2);
  CHECK(IncompatibleShare(interference, Shop(kUndisturbed)) == 0.5);
  CHECK(IncompatibleShare(interference, {}) == 0.0);
}

TEST_CASE("Serving tasks bear what leaves their tails under the target") {
  Interference interference;
  Random random{8};
  Teach(interference, random, 300);
  CHECK(BearingBeside(interference, kHarmless, 0.3) ==
        Compatibility::kCompatible);
  CHECK(BearingBeside(interference, kHarmful, 0.15) ==
        Compatibility::kIncompatible);
  CHECK(ExpectedHeadrooms(interference, {}, {}, kCapacity).empty());
}

TEST_CASE("Fillers that are already there count, also before they show") {
  Interference interference;
  Random random{9};
  Teach(interference, random, 300);
  BestEffortImage placed = BestEffortUse(0.05);
  CHECK(BearingBeside(interference, Shop(kUndisturbed), {{kHarmful, placed}},
                      kHarmful, 0.02) == Compatibility::kCompatible);
  placed.m_demand = Share(0.1);
  placed.m_used = Millicores(0);
  CHECK(BearingBeside(interference, Shop(kUndisturbed), {{kHarmful, placed}},
                      kHarmful, 0.02) == Compatibility::kIncompatible);
}

TEST_CASE("Serving tasks under more load than usual bear less") {
  Interference interference;
  Random random{10};
  Teach(interference, random, 300);
  ServingImages serving = Shop(kUndisturbed);
  CHECK(BearingBeside(interference, serving, {}, kHarmful, 0.05) ==
        Compatibility::kCompatible);
  serving.begin()->second.m_deviation = -0.7;
  CHECK(BearingBeside(interference, serving, {}, kHarmful, 0.05) ==
        Compatibility::kIncompatible);
}

TEST_CASE("A pair that was never seen is uncertain until it has been read") {
  Interference interference;
  Random random{11};
  Teach(interference, random, 300);
  const ImageId fresh("fresh");
  CHECK(BearingBeside(interference, fresh, 0.1) == Compatibility::kUncertain);
  for (int reading = 0; reading < 4; ++reading) {
    ServingImages serving = Shop(0.5);
    LearnInterference(interference, serving, {{fresh, BestEffortUse(0.1)}},
                      kCapacity);
  }
  CHECK(BearingBeside(interference, fresh, 0.1) ==
        Compatibility::kIncompatible);
  // What is well known took little of the blame.
  CHECK(BearingBeside(interference, kHarmless, 0.3) ==
        Compatibility::kCompatible);
}

}  // namespace daisyarch::fleet
