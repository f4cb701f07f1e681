#include "decisions/placement/headroom.h"

#include <algorithm>
#include <cmath>

namespace daisyarch {

namespace {

constexpr std::int64_t kAllPercent = 100;
/// Waiting tasks of one team that count towards a need.
constexpr std::size_t kTasksCounted = 64;

Millicores Held(const PartitionState& state, const ClassId& class_id) {
  const auto usage = state.m_class_usage.find(class_id);
  if (usage == state.m_class_usage.end()) return Millicores();
  return usage->second.m_reserved.m_processors;
}

// Sums the demand of the first tasks of each team only: the need is capped
// by the kept share, so a long queue need not be walked to its end.
Millicores Waiting(const PartitionState& state, const ClassId& class_id) {
  Millicores sum;
  const auto teams = state.m_queue.m_classes.find(class_id);
  if (teams == state.m_queue.m_classes.end()) return sum;
  for (const auto& [team, queue] : teams->second) {
    std::size_t counted = 0;
    for (const auto& [start_by, task] : queue.m_tasks) {
      if (++counted > kTasksCounted) break;
      sum += state.m_jobs.at(task.m_job).m_request.m_demand.m_processors;
    }
  }
  return sum;
}

}  // namespace

void UpdateNeeds(ClassNeeds& needs, const PartitionState& state,
                 TimePoint now) {
  const double elapsed =
      static_cast<double>((now - needs.m_updated_at).count());
  const double decay =
      std::exp2(-elapsed / static_cast<double>(kNeedHalfLife.count()));
  needs.m_updated_at = now;
  for (auto& [class_id, peak] : needs.m_peak) {
    peak = Millicores(
        static_cast<std::int64_t>(static_cast<double>(peak.value()) * decay));
  }
  for (const auto& [class_id, usage] : state.m_class_usage) {
    Millicores& peak = needs.m_peak[class_id];
    peak = std::max(peak, usage.m_reserved.m_processors);
  }
  for (const auto& [class_id, teams] : state.m_queue.m_classes) {
    Millicores& peak = needs.m_peak[class_id];
    peak = std::max(peak, Held(state, class_id) + Waiting(state, class_id));
  }
}

Millicores KeptShare(const ClassTarget& target, Millicores capacity) {
  return Millicores(capacity.value() * target.m_keep_percent / kAllPercent);
}

Millicores HeadroomForOthers(const Configuration& configuration,
                             const ClassNeeds& needs,
                             const PartitionState& state,
                             const ClassId& class_id, Millicores capacity) {
  Millicores headroom;
  for (const ClassTarget& target : configuration.m_classes) {
    if (target.m_kind == ClassKind::kRequest) continue;
    if (target.m_class == class_id) continue;
    const auto peak = needs.m_peak.find(target.m_class);
    if (peak == needs.m_peak.end()) continue;
    const Millicores wanted =
        std::min(KeptShare(target, capacity), peak->second);
    const Millicores missing = wanted - Held(state, target.m_class);
    headroom += std::max(missing, Millicores());
  }
  return headroom;
}

}  // namespace daisyarch
