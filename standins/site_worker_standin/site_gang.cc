#include "site_gang.h"

#include <algorithm>

namespace daisyarch {

namespace {

using fleet::ModelRun;
using fleet::RunOutcome;

constexpr Duration kLongestWait = std::chrono::seconds(3);

ModelRun* FindRun(const SiteGang& gang, const SiteGang::Member& member) {
  fleet::FleetWorkerModel& model = member.m_worker->m_model;
  if (!model.m_is_up ||
      !(model.m_listing.m_incarnation == member.m_incarnation)) {
    return nullptr;
  }
  const auto found = model.m_running.find(member.m_task);
  if (found == model.m_running.end()) return nullptr;
  return found->second.m_run == gang.m_run ? &found->second : nullptr;
}

void EndAll(const SiteGang& gang, RunOutcome outcome, TimePoint at) {
  for (const SiteGang::Member& member : gang.m_members) {
    ModelRun* run = FindRun(gang, member);
    if (run == nullptr) continue;
    run->m_outcome = outcome;
    run->m_ends_at = at;
  }
}

}  // namespace

bool AdvanceGang(SiteGang& gang, TimePoint now) {
  std::vector<SiteGang::Member>& members = gang.m_members;
  const std::size_t before = members.size();
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&gang](const SiteGang::Member& member) {
                                 return FindRun(gang, member) == nullptr;
                               }),
                members.end());
  if (members.empty()) return false;
  if (members.size() < before) {
    // The end of a complete gang is due for all at one time.
    const ModelRun* run = FindRun(gang, members.front());
    if (run->m_ends_at > now) EndAll(gang, RunOutcome::kBroken, now);
    return true;
  }
  if (gang.m_is_complete) return true;
  if (members.size() == gang.m_size) {
    gang.m_is_complete = true;
    EndAll(gang, gang.m_fails ? RunOutcome::kBroken : RunOutcome::kDone,
           now + gang.m_work);
    if (gang.m_fails) {
      FindRun(gang, members.front())->m_outcome = RunOutcome::kFailed;
    }
  } else if (now - gang.m_began_at > kLongestWait) {
    EndAll(gang, RunOutcome::kAlone, now);
  }
  return true;
}

}  // namespace daisyarch
