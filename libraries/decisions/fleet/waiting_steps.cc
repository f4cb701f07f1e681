#include "decisions/fleet/waiting_steps.h"

#include <algorithm>
#include <utility>

namespace daisyarch::fleet {

namespace {

constexpr std::uint32_t kLevelsPerDoubling = 4;

}  // namespace

// Within a doubling from 2^n, the next two bits of the demand count.
std::uint32_t LevelOf(Millicores processors) {
  if (processors.value() < std::int64_t{kLevelsPerDoubling}) return 0;
  std::uint32_t doublings = 0;
  std::int64_t rest = processors.value();
  while (rest >= 2 * std::int64_t{kLevelsPerDoubling}) {
    rest /= 2;
    ++doublings;
  }
  return doublings * kLevelsPerDoubling + static_cast<std::uint32_t>(rest);
}

Millicores SmallestOf(std::uint32_t level) {
  if (level < kLevelsPerDoubling) return Millicores(0);
  const std::uint32_t doublings = level / kLevelsPerDoubling - 1;
  const std::int64_t rest = level % kLevelsPerDoubling + kLevelsPerDoubling;
  return Millicores(rest << doublings);
}

void Insert(WaitingSteps& steps, const WaitingGroup& group, WaitingJob job,
            const QueuedSteps& queued) {
  steps.m_groups[group].emplace(std::move(job), &queued);
}

bool HasSteps(const WaitingSteps& steps) { return !steps.m_groups.empty(); }

void Erase(WaitingSteps& steps, const WaitingGroup& group,
           const WaitingJob& job) {
  const auto found = steps.m_groups.find(group);
  if (found == steps.m_groups.end()) return;
  found->second.erase(job);
  if (found->second.empty()) steps.m_groups.erase(found);
}

bool WaitingStepsWalk::IsLessUrgent::operator()(const Position& left,
                                                const Position& right) const {
  return std::tie(right.m_job->first, *right.m_step) <
         std::tie(left.m_job->first, *left.m_step);
}

void WaitingStepsWalk::AddGroup(Millicores smallest, const WaitingJobs& jobs) {
  if (jobs.empty()) return;
  m_positions.push_back(
      {smallest, jobs.begin(), jobs.end(), jobs.begin()->second->begin()});
  std::push_heap(m_positions.begin(), m_positions.end(), IsLessUrgent());
}

std::optional<WaitingStep> WaitingStepsWalk::Next(Millicores largest_room) {
  while (!m_positions.empty()) {
    std::pop_heap(m_positions.begin(), m_positions.end(), IsLessUrgent());
    Position& first = m_positions.back();
    if (largest_room < first.m_smallest) {
      m_positions.pop_back();
      continue;
    }
    const auto& [rank, key] = first.m_job->first;
    WaitingStep step{rank, key, *first.m_step};
    const QueuedSteps& queued = *first.m_job->second;
    if (++first.m_step == queued.end() && ++first.m_job != first.m_end) {
      first.m_step = first.m_job->second->begin();
    }
    if (first.m_job == first.m_end) {
      m_positions.pop_back();
    } else {
      std::push_heap(m_positions.begin(), m_positions.end(), IsLessUrgent());
    }
    return step;
  }
  return std::nullopt;
}

}  // namespace daisyarch::fleet
