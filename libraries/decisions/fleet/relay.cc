#include "decisions/fleet/relay.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/stable_hash.h"

namespace daisyarch::fleet {

namespace {

constexpr std::int64_t kMillicoresPerCore = 1000;
constexpr double kHashes = 18446744073709551616.0;  // 2^64
// Clocks drift by some milliseconds in this time, which the age of an order
// allows for.
constexpr Duration kClockPeriod = std::chrono::seconds(30);

std::int64_t WorkersOf(std::int64_t workers_per_core, Millicores processors) {
  return workers_per_core * processors.value() / kMillicoresPerCore;
}

}  // namespace

// An answer that is handled late gives an offset that is too low, so the
// highest one is the best.
void AddClockReading(RelayClockOffset& offset, RelayMicroseconds clock,
                     TimePoint now) {
  const RelayMicroseconds difference =
      clock - RelayMicroseconds(now.time_since_epoch().count());
  if (!offset.m_is_known) {
    offset = {difference, difference, now, true};
  } else if (now - offset.m_period_began_at >= kClockPeriod) {
    offset.m_highest = std::max(offset.m_present, difference);
    offset.m_present = difference;
    offset.m_period_began_at = now;
  } else {
    offset.m_present = std::max(offset.m_present, difference);
    offset.m_highest = std::max(offset.m_highest, difference);
  }
}

RelayMicroseconds RelayClockAt(const RelayClockOffset& offset, TimePoint at) {
  return offset.m_highest + RelayMicroseconds(at.time_since_epoch().count());
}

bool MayRelayStart(Duration maximum_listing_age, Duration listing_age) {
  return listing_age + kMaximumRelayedOrderAge <= maximum_listing_age;
}

bool CanServe(const RelayLimits& limits, const std::vector<RelayNode>& relays,
              std::size_t worker_count) {
  std::int64_t served = 0;
  for (const RelayNode& relay : relays) {
    served += WorkersOf(limits.m_relayed_workers_per_core, relay.m_processors);
  }
  return served >= static_cast<std::int64_t>(worker_count);
}

std::vector<RelayNode> ChooseRelays(const RelayLimits& limits,
                                    std::vector<RelayNode> candidates,
                                    Millicores leader_processors,
                                    std::size_t worker_count) {
  const auto workers = static_cast<std::int64_t>(worker_count);
  if (workers <=
      WorkersOf(limits.m_direct_workers_per_core, leader_processors)) {
    return {};
  }
  // The hash gives every leader the same order, so that a new leader finds
  // relays with open connections to the workers.
  std::sort(
      candidates.begin(), candidates.end(),
      [](const RelayNode& left, const RelayNode& right) {
        if (left.m_processors != right.m_processors) {
          return left.m_processors > right.m_processors;
        }
        return std::make_tuple(StableHash(left.m_node.value()), left.m_node) <
               std::make_tuple(StableHash(right.m_node.value()), right.m_node);
      });
  std::vector<RelayNode> chosen;
  std::int64_t served = 0;
  for (RelayNode& candidate : candidates) {
    if (served >= workers) break;
    if (candidate.m_processors < limits.m_minimum_processors) break;
    served +=
        WorkersOf(limits.m_relayed_workers_per_core, candidate.m_processors);
    chosen.push_back(std::move(candidate));
  }
  return chosen;
}

std::size_t RelayOf(const std::vector<RelayNode>& relays,
                    const WorkerId& worker) {
  const std::uint64_t worker_hash = StableHash(worker.value());
  std::size_t best = 0;
  double best_score = 0;
  for (std::size_t index = 0; index < relays.size(); ++index) {
    const std::uint64_t hash =
        CombineHashes(StableHash(relays[index].m_node.value()), worker_hash);
    const double uniform = (static_cast<double>(hash) + 0.5) / kHashes;
    // Weighted rendezvous hashing: the highest score wins with a probability
    // that is proportional to the relay's processor time.
    const double score =
        static_cast<double>(relays[index].m_processors.value()) /
        -std::log(uniform);
    if (index == 0 || score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

bool IsRecentOrder(RelayMicroseconds sent_at, RelayMicroseconds now) {
  // A clock behind `sent_at` is another one than the order was dated by.
  const Duration age((now - sent_at).value());
  return age >= Duration{} && age <= kMaximumRelayedOrderAge;
}

}  // namespace daisyarch::fleet
