#include "decisions/leadership/leadership.h"

#include <algorithm>

namespace daisyarch {

namespace {

// A node with at least this share of a core does not wait for larger ones.
constexpr double kAmpleShare = 0.5;
constexpr double kSmallestNodeDelayMs = 200.0;
constexpr std::uint64_t kSpreadMs = 60;

}  // namespace

ChartBinding<LeadershipEffects> LeadershipBinding() {
  using Effects = LeadershipEffects;
  return {
      {"following", "claiming", "loading", "leading", "store_unreachable",
       "handing_over", "stopped"},
      {"vacancy_seen", "claimed", "claim_failed", "loaded", "store_lost",
       "store_regained", "claim_lost", "stop_requested", "handed_over"},
      {},
      {{"begin_claim", [](Effects& effects) { effects.m_must_claim = true; }},
       {"begin_load",
        [](Effects& effects) { effects.m_must_load_fleet = true; }},
       {"drop_fleet",
        [](Effects& effects) { effects.m_must_drop_fleet = true; }},
       {"release_claim",
        [](Effects& effects) { effects.m_must_release_claim = true; }},
       {"wait_to_retry",
        [](Effects& effects) { effects.m_must_wait_to_retry = true; }}},
  };
}

Duration ClaimDelay(double processor_share, std::uint64_t node_hash) {
  const double missing =
      std::clamp(1.0 - processor_share / kAmpleShare, 0.0, 1.0);
  const auto spread = static_cast<std::int64_t>(node_hash % kSpreadMs);
  return FromMilliseconds(
      static_cast<std::int64_t>(missing * kSmallestNodeDelayMs) + spread);
}

}  // namespace daisyarch
