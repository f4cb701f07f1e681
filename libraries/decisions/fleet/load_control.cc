#include "decisions/fleet/load_control.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// Ticks are due every few tens of milliseconds; the loop counts as late if they
// come further apart.
constexpr Duration kPunctualGap = std::chrono::milliseconds(100);
// Hysteresis: passes grow below the first gap and shrink above the second,
// which leaves several turns of the loop to renew a claim of 2 s.
constexpr Duration kGrowBelowGap = std::chrono::milliseconds(100);
constexpr Duration kShrinkAboveGap = std::chrono::milliseconds(250);
constexpr std::size_t kMinimumStartsPerPass = 16;
constexpr std::size_t kMaximumStartsPerPass = 128;
constexpr Duration kMaximumPollSpacing = std::chrono::milliseconds(400);
// With less of its lease left, a worker is polled at once. Covers a poll
// without an answer and the one after it.
constexpr WorkerMilliseconds kMinimumLeaseLeft{2500};

}  // namespace

void AdaptToLoop(Fleet& fleet, Duration tick_gap) {
  if (tick_gap == Duration{}) return;
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

Duration PollSpacing(const Fleet& fleet, const Worker& worker) {
  const bool has_time =
      worker.m_lease_until - worker.m_clock >= kMinimumLeaseLeft;
  return has_time ? fleet.m_poll_spacing : Duration{};
}

}  // namespace daisyarch::fleet
