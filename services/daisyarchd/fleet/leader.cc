#include "fleet/leader.h"

#include <algorithm>

#include "decisions/fleet/fencing.h"
#include "decisions/fleet/load_control.h"

namespace daisyarch::fleet {

namespace {

// The gap between ticks is averaged over about this many.
constexpr int kGapSamples = 4;

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

void RunSchedulingPass(const LeaderPointer& leader) {
  leader->m_is_pass_requested = false;
  ++leader->m_load.m_passes;
  Fleet& fleet = leader->m_fleet;
  const TimePoint ticked_at = Now(*leader);
  TickFleet(fleet, ticked_at, leader->m_runtime.m_clock.m_unix_ms());
  bool has_unfinished_pass = false;
  const TimePoint began_at = Now(*leader);
  leader->m_load.m_tick_time += began_at - ticked_at;
  if (fleet.m_needs_placement && leader->m_has_worker_listing &&
      began_at >= leader->m_next_placement_at && leader->m_may_start_runs()) {
    has_unfinished_pass = PlaceRuns(fleet, began_at);
    leader->m_load.m_placement_time += Now(*leader) - began_at;
    SendOrders(leader);
    // Leaves at least half of the loop's time to everything else.
    const TimePoint ended_at = Now(*leader);
    leader->m_next_placement_at = ended_at + (ended_at - began_at);
  }
  SendOrders(leader);
  CallRelays(leader);
  LogFleetEvents(*leader);
  WriteRoster(leader);
  WriteChanges(leader);
  if (has_unfinished_pass || fleet.m_has_due_polls) {
    RequestSchedulingPass(leader);
  }
}

void MeasureTickGap(Leader& leader) {
  const TimePoint now = Now(leader);
  if (leader.m_ticked_at != TimePoint()) {
    const Duration gap = now - leader.m_ticked_at;
    leader.m_longest_tick_gap = std::max(leader.m_longest_tick_gap, gap);
    const bool is_first = leader.m_tick_gap == Duration{};
    leader.m_tick_gap =
        is_first ? gap
                 : (leader.m_tick_gap * (kGapSamples - 1) + gap) / kGapSamples;
  }
  leader.m_ticked_at = now;
}

}  // namespace

void RequestSchedulingPass(const LeaderPointer& leader) {
  if (leader->m_is_pass_requested) return;
  leader->m_is_pass_requested = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_clock.m_defer([weak] {
    const LeaderPointer self = weak.lock();
    if (self) RunSchedulingPass(self);
  });
}

void TickLeader(const LeaderPointer& leader) {
  if (!leader->m_is_loaded) return;
  if (AreTokensUsedUp(leader->m_fleet)) {
    return leader->m_on_claim_lost("the term has few fencing tokens left");
  }
  MeasureTickGap(*leader);
  AdaptToLoop(leader->m_fleet, leader->m_tick_gap);
  LogLeaderStatus(*leader);
  LogWaitEnd(*leader);
  TickWatch(leader->m_jobs_watch, leader->m_runtime.m_store,
            leader->m_runtime.m_clock.m_now);
  leader->m_fleet.m_jobs_known_at = leader->m_jobs_watch->m_known_at;
  TickWatch(leader->m_workers_watch, leader->m_runtime.m_store,
            leader->m_runtime.m_clock.m_now);
  TickEvacuationsWatch(leader);
  TickRelays(leader);
  WritePendingCounts(leader);
  WriteDrainedTerm(leader);
  WriteEffects(leader);
  RemoveOldProgress(leader);
  RemoveOldWithdrawals(leader);
  RequestSchedulingPass(leader);
}

bool AreChangesStored(const Leader& leader) {
  return leader.m_fleet.m_changed_jobs.empty() && !leader.m_fleet.m_is_storing;
}

}  // namespace daisyarch::fleet
