#include "decisions/fleet/load_control.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// Ticks are due every few tens of milliseconds; the loop counts as late if they
// come further apart.
constexpr Duration kPunctualGap = std::chrono::milliseconds(100);
// Hysteresis: passes grow below the first gap and shrink above the second,
// which leaves several turns of the loop to renew a claim of 2 s.
constexpr Duration kGrowBelowGap = std::chrono::milliseconds(200);
constexpr Duration kShrinkAboveGap = std::chrono::milliseconds(400);
constexpr std::size_t kMinimumStartsPerPass = 16;
constexpr std::size_t kMaximumStartsPerPass = 128;
// Leaves time to extend a lease of 4 s at every second poll.
constexpr Duration kMaximumPollSpacing = std::chrono::milliseconds(800);

}  // namespace

void AdaptToLoop(Fleet& fleet, Duration tick_gap) {
  std::size_t& starts = fleet.m_limits.m_starts_per_pass;
  if (tick_gap > kShrinkAboveGap) {
    starts = std::max(kMinimumStartsPerPass, starts / 2);
  } else if (tick_gap < kGrowBelowGap) {
    starts = std::min(kMaximumStartsPerPass, starts * 2);
  }
  // Polls alone must not occupy the loop.
  fleet.m_poll_spacing = tick_gap > kPunctualGap
                             ? std::min(kMaximumPollSpacing, tick_gap * 2)
                             : Duration{};
}

}  // namespace daisyarch::fleet
