#include "decisions/placement/headroom.h"

#include <algorithm>
#include <cmath>

namespace daisyarch {

namespace {

constexpr std::int64_t kPercent = 100;
/// Queued tasks per team that are counted in a class's demand.
constexpr std::size_t kMaximumTasksCounted = 64;

Millicores ReservedProcessors(const PartitionState& state,
                              const ClassId& class_id) {
  const auto usage = state.m_class_usage.find(class_id);
  if (usage == state.m_class_usage.end()) return Millicores();
  return usage->second.m_reserved.m_processors;
}

// Sums the demand of the first kMaximumTasksCounted tasks per team only. The
// result is capped by the class's guaranteed share, so the rest of a long
// queue does not matter.
Millicores QueuedProcessors(const PartitionState& state,
                            const ClassId& class_id) {
  Millicores sum;
  const auto teams = state.m_queue.m_classes.find(class_id);
  if (teams == state.m_queue.m_classes.end()) return sum;
  for (const auto& [team, queue] : teams->second) {
    std::size_t counted = 0;
    for (const auto& [start_by, task] : queue.m_tasks) {
      if (++counted > kMaximumTasksCounted) break;
      sum += state.m_jobs.at(task.m_job).m_request.m_demand.m_processors;
    }
  }
  return sum;
}

}  // namespace

void UpdateClassDemands(ClassDemands& demands, const PartitionState& state,
                        TimePoint now) {
  const double elapsed =
      static_cast<double>((now - demands.m_updated_at).count());
  const double decay =
      std::exp2(-elapsed / static_cast<double>(kDemandHalfLife.count()));
  demands.m_updated_at = now;
  for (auto& [class_id, peak] : demands.m_peak) {
    peak = Millicores(
        static_cast<std::int64_t>(static_cast<double>(peak.value()) * decay));
  }
  for (const auto& [class_id, usage] : state.m_class_usage) {
    Millicores& peak = demands.m_peak[class_id];
    peak = std::max(peak, usage.m_reserved.m_processors);
  }
  for (const auto& [class_id, teams] : state.m_queue.m_classes) {
    Millicores& peak = demands.m_peak[class_id];
    peak = std::max(peak, ReservedProcessors(state, class_id) +
                              QueuedProcessors(state, class_id));
  }
}

Millicores GuaranteedShare(const ClassTarget& target, Millicores capacity) {
  return Millicores(capacity.value() * target.m_keep_percent / kPercent);
}

Millicores HeadroomForOthers(const Configuration& configuration,
                             const ClassDemands& demands,
                             const PartitionState& state,
                             const ClassId& class_id, Millicores capacity) {
  Millicores headroom;
  for (const ClassTarget& target : configuration.m_classes) {
    if (target.m_kind == ClassKind::kRequest) continue;
    if (target.m_class == class_id) continue;
    const auto peak = demands.m_peak.find(target.m_class);
    if (peak == demands.m_peak.end()) continue;
    const Millicores guaranteed =
        std::min(GuaranteedShare(target, capacity), peak->second);
    const Millicores missing =
        guaranteed - ReservedProcessors(state, target.m_class);
    headroom += std::max(missing, Millicores());
  }
  return headroom;
}

}  // namespace daisyarch
