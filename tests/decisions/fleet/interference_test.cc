#include "decisions/fleet/interference.h"

#include <catch2/catch.hpp>
#include <limits>

#include "base/random.h"
#include "decisions/fleet/learned_effects.h"

namespace daisyarch::fleet {

namespace {

const ImageId kShop("shop");
const ImageId kHarmful("harmful");
const ImageId kHarmless("harmless");
constexpr Millicores kCapacity{64000};
constexpr std::int64_t kTargetMs = 18;
constexpr double kBaselineHeadroom = 2.2;
constexpr double kHarmfulHeadroomLoss = 10;

Millicores ShareOfWorker(double share) {
  return Millicores(static_cast<std::int64_t>(share * kCapacity.value()));
}

BestEffortImage BestEffortUse(double share) {
  return {1, ShareOfWorker(share), ShareOfWorker(share)};
}

// Returns a serving task whose tail latency gives it this headroom.
ServingImages ServingShop(double headroom) {
  ServingImage shop;
  shop.m_count = 1;
  shop.m_target = std::chrono::milliseconds(kTargetMs);
  shop.m_tail_latency_ms = shop.m_mean_tail_latency_ms =
      static_cast<double>(kTargetMs) / headroom;
  return {{kShop, shop}};
}

// Feeds samples in which the harmful image takes headroom in proportion to its
// share of the worker, with noise.
void Train(Interference& interference, Random& random, int samples) {
  for (int sample = 0; sample < samples; ++sample) {
    const double harmful = NextUnit(random) * 0.1;
    const double harmless = NextUnit(random) * 0.3;
    const double noise = (NextUnit(random) - 0.5) * 0.6;
    ServingImages serving =
        ServingShop(kBaselineHeadroom - kHarmfulHeadroomLoss * harmful + noise);
    AddInterferenceSample(interference, serving,
                          {{kHarmful, BestEffortUse(harmful)},
                           {kHarmless, BestEffortUse(harmless)}},
                          kCapacity);
  }
}

Compatibility CompatibilityFor(const Interference& interference,
                               const ServingImages& serving,
                               const BestEffortImages& best_effort,
                               const ImageId& best_effort_image, double share) {
  const auto headrooms =
      ExpectedHeadrooms(interference, serving, best_effort, kCapacity);
  REQUIRE(headrooms.size() == 1);
  return CompatibilityOf(interference, headrooms.front(), best_effort_image,
                         ShareOfWorker(share), kCapacity);
}

Compatibility CompatibilityFor(const Interference& interference,
                               const ImageId& best_effort_image, double share) {
  return CompatibilityFor(interference, ServingShop(kBaselineHeadroom), {},
                          best_effort_image, share);
}

}  // namespace

TEST_CASE("Harmful images are distinguished from harmless ones on one worker") {
  Interference interference;
  Random random{7};
  Train(interference, random, 300);
  CHECK(HeadroomLoss(interference, kShop, kHarmful, ShareOfWorker(0.1),
                     kCapacity) ==
        Approx(kHarmfulHeadroomLoss * 0.1).margin(0.3));
  CHECK(HeadroomLoss(interference, kShop, kHarmless, ShareOfWorker(0.1),
                     kCapacity) < 0.2);
  CHECK(IncompatibleShare(interference, ServingShop(kBaselineHeadroom)) == 0.5);
  CHECK(IncompatibleShare(interference, {}) == 0.0);
}

TEST_CASE(
    "Compatibility requires that tail latencies stay under their targets") {
  Interference interference;
  Random random{8};
  Train(interference, random, 300);
  CHECK(CompatibilityFor(interference, kHarmless, 0.3) ==
        Compatibility::kCompatible);
  CHECK(CompatibilityFor(interference, kHarmful, 0.15) ==
        Compatibility::kIncompatible);
  CHECK(ExpectedHeadrooms(interference, {}, {}, kCapacity).empty());
}

TEST_CASE("The demand of placed best-effort tasks counts before they use it") {
  Interference interference;
  Random random{9};
  Train(interference, random, 300);
  BestEffortImage placed = BestEffortUse(0.05);
  CHECK(CompatibilityFor(interference, ServingShop(kBaselineHeadroom),
                         {{kHarmful, placed}}, kHarmful,
                         0.02) == Compatibility::kCompatible);
  placed.m_demand = ShareOfWorker(0.1);
  placed.m_used = Millicores(0);
  CHECK(CompatibilityFor(interference, ServingShop(kBaselineHeadroom),
                         {{kHarmful, placed}}, kHarmful,
                         0.02) == Compatibility::kIncompatible);
}

TEST_CASE(
    "Serving tasks under more load than usual tolerate less interference") {
  Interference interference;
  Random random{10};
  Train(interference, random, 300);
  ServingImages serving = ServingShop(kBaselineHeadroom);
  CHECK(CompatibilityFor(interference, serving, {}, kHarmful, 0.05) ==
        Compatibility::kCompatible);
  serving.begin()->second.m_deviation = -0.7;
  CHECK(CompatibilityFor(interference, serving, {}, kHarmful, 0.05) ==
        Compatibility::kIncompatible);
}

TEST_CASE("A pair that never ran together is uncertain until it has samples") {
  Interference interference;
  Random random{11};
  Train(interference, random, 300);
  const ImageId unknown("fresh");
  CHECK(CompatibilityFor(interference, unknown, 0.1) ==
        Compatibility::kUncertain);
  for (int sample = 0; sample < 4; ++sample) {
    ServingImages serving = ServingShop(0.5);
    AddInterferenceSample(interference, serving,
                          {{unknown, BestEffortUse(0.1)}}, kCapacity);
  }
  CHECK(CompatibilityFor(interference, unknown, 0.1) ==
        Compatibility::kIncompatible);
  // Little of the error was attributed to the well-known image.
  CHECK(CompatibilityFor(interference, kHarmless, 0.3) ==
        Compatibility::kCompatible);
}

// Guards against best-effort tasks that are placed while the load of the
// serving tasks is low and harm them once it is high.
TEST_CASE("Placement plans for the swing of what serving tasks bear") {
  Interference steady;
  Interference swinging;
  for (int sample = 0; sample < 300; ++sample) {
    ServingImages even = ServingShop(kBaselineHeadroom);
    AddInterferenceSample(steady, even, {{kHarmless, BestEffortUse(0.1)}},
                          kCapacity);
    const double swing = sample % 10 < 5 ? 0.8 : -0.8;
    ServingImages uneven = ServingShop(kBaselineHeadroom + swing);
    AddInterferenceSample(swinging, uneven, {{kHarmless, BestEffortUse(0.1)}},
                          kCapacity);
  }
  const auto headroom_in = [](const Interference& interference) {
    return ExpectedHeadrooms(interference, ServingShop(kBaselineHeadroom), {},
                             kCapacity)
        .front()
        .m_headroom;
  };
  CHECK(headroom_in(steady) - headroom_in(swinging) > 0.5);
}

// Guards against best-effort work that waits after each change of leader until
// every pair of images has been tried again.
TEST_CASE("The next leader takes over what the one before has learned") {
  Interference earlier;
  Random random{12};
  Train(earlier, random, 300);
  Interference next;
  CHECK(CompatibilityFor(next, kHarmless, 0.3) == Compatibility::kUncertain);
  ApplyLearnedEffects(next, LearnedEffectsOf(earlier));
  CHECK(CompatibilityFor(next, kHarmless, 0.3) == Compatibility::kCompatible);
  CHECK(CompatibilityFor(next, kHarmful, 0.15) == Compatibility::kIncompatible);
  CHECK(IncompatibleShare(next, ServingShop(kBaselineHeadroom)) == 0.5);
}

TEST_CASE("Learned effects give way to a leader's own samples") {
  Interference own;
  Random random{13};
  Train(own, random, 300);
  const double loss =
      HeadroomLoss(own, kShop, kHarmful, ShareOfWorker(0.1), kCapacity);
  ApplyLearnedEffects(own, {{{kShop, kHarmful, {0.1, 1.0}}}, {}});
  CHECK(HeadroomLoss(own, kShop, kHarmful, ShareOfWorker(0.1), kCapacity) ==
        loss);
}

TEST_CASE("Learned effects out of range are ignored") {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  const double not_a_number = std::numeric_limits<double>::quiet_NaN();
  for (const Estimate& estimate :
       {Estimate{not_a_number, 1}, Estimate{1, not_a_number},
        Estimate{kInfinity, 1}, Estimate{1, kInfinity}, Estimate{-1, 1},
        Estimate{1, 0}, Estimate{1, -1}, Estimate{1e300, 1}}) {
    INFO(estimate.m_mean << " " << estimate.m_variance);
    Interference interference;
    ApplyLearnedEffects(interference,
                        {{{kShop, kHarmful, estimate}}, {{kShop, estimate}}});
    CHECK(interference.m_pairs.empty());
    CHECK(interference.m_baselines.empty());
  }
}

}  // namespace daisyarch::fleet
