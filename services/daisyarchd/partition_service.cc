#include "partition_service.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"
#include "decisions/ownership/partition_assignment.h"
#include "decisions/placement/worker_exchange.h"
#include "log/log.h"

namespace daisyarch {

namespace {

constexpr Duration kExchangeTimeout = std::chrono::seconds(2);

void StepPartition(PartitionService& service, PartitionEntry& entry,
                   PartitionEvent event);

// Callers whose record may or may not have become durable learn just that.
void FailTickets(PartitionService& service, const PartitionId& partition) {
  std::vector<JobAnswer> answers;
  for (auto ticket = service.m_tickets.begin();
       ticket != service.m_tickets.end();) {
    if (ticket->second.m_partition != partition) {
      ++ticket;
      continue;
    }
    answers.push_back(std::move(ticket->second.m_on_answer));
    ticket = service.m_tickets.erase(ticket);
  }
  for (const JobAnswer& on_answer : answers) {
    on_answer(Error{ErrorCode::kOutcomeUnknown, "commit job", partition.value(),
                    "the partition moved"});
  }
}

void DropPartition(PartitionService& service, PartitionEntry& entry) {
  if (!entry.m_owned) return;
  LogEvent(LogLevel::kWarning, "partition_dropped",
           {{"partition", entry.m_id.value()}});
  entry.m_owned->m_is_dropped = true;
  entry.m_owned.reset();
  entry.m_links.clear();
  entry.m_is_release_sent = false;
  FailTickets(service, entry.m_id);
}

void OnCommitted(PartitionService& service, const PartitionId& partition,
                 const std::vector<HeldReply>& replies) {
  const PartitionEntry& entry = service.m_entries.at(partition);
  for (const HeldReply& reply : replies) {
    const auto ticket = service.m_tickets.find(reply.m_ticket);
    if (ticket == service.m_tickets.end()) continue;
    const JobAnswer on_answer = std::move(ticket->second.m_on_answer);
    service.m_tickets.erase(ticket);
    const PartitionEngine& engine = EngineOf(entry);
    const auto job = engine.m_state.m_jobs.find(reply.m_job);
    if (job == engine.m_state.m_jobs.end()) continue;
    on_answer(StatusOfJob(engine, job->second));
  }
}

CommitObserver ObserverOf(PartitionService& service,
                          const PartitionId& partition) {
  CommitObserver observer;
  observer.m_on_committed = [&service,
                             partition](const std::vector<HeldReply>& replies) {
    OnCommitted(service, partition, replies);
  };
  observer.m_on_fenced = [&service, partition] {
    StepPartition(service, service.m_entries.at(partition),
                  PartitionEvent::kFenced);
  };
  observer.m_now = service.m_runtime.m_clock.m_now;
  return observer;
}

void Pump(PartitionService& service, PartitionEntry& entry) {
  if (!entry.m_owned || entry.m_is_release_sent) return;
  // The lease is checked at the last moment: the process may have been
  // paused since the event began.
  if (!HoldsLease(service.m_membership, service.m_runtime.m_clock.m_now())) {
    return;
  }
  // A copy: a fenced write drops the partition.
  const std::shared_ptr<OwnedPartition> owned = entry.m_owned;
  PumpCommits(service.m_runtime.m_platform, owned,
              ObserverOf(service, entry.m_id));
}

std::vector<WorkerListing> ListingOf(const PartitionService& service,
                                     const PartitionId& partition) {
  std::vector<WorkerListing> listing;
  for (const ListedWorker& worker : service.m_workers) {
    const PartitionId home = PartitionOf(
        service.m_runtime.m_settings, worker.m_failure_domain, worker.m_rack);
    if (home != partition) continue;
    listing.push_back(
        WorkerListing{worker.m_worker, worker.m_capacity, worker.m_is_leaving});
  }
  return listing;
}

// Workers are asked one after the other over the interval. All at once they
// would hold the loop up, and with it the requests' answers.
TimePoint FirstExchange(const PartitionService& service,
                        const ListedWorker& worker) {
  const Duration interval = service.m_runtime.m_settings.m_worker_poll_interval;
  const auto offset = StableHash(worker.m_worker.value()) %
                      static_cast<std::uint64_t>(interval.count());
  return service.m_runtime.m_clock.m_now() +
         Duration(static_cast<Duration::rep>(offset));
}

void ListWorkersOf(PartitionService& service, PartitionEntry& entry) {
  if (!entry.m_owned || service.m_workers.empty()) return;
  ApplyListing(EngineOf(entry), service.m_runtime.m_machines.m_placement,
               ListingOf(service, entry.m_id));
  for (const ListedWorker& worker : service.m_workers) {
    const PartitionId home = PartitionOf(
        service.m_runtime.m_settings, worker.m_failure_domain, worker.m_rack);
    if (home != entry.m_id) continue;
    const auto [link, is_new] = entry.m_links.try_emplace(worker.m_worker);
    link->second.m_address = worker.m_address;
    if (is_new) link->second.m_next_at = FirstExchange(service, worker);
  }
}

void OnClaimed(PartitionService& service, const PartitionId& partition,
               std::uint64_t claim, Result<ClaimedPartition> result) {
  PartitionEntry& entry = service.m_entries.at(partition);
  if (entry.m_claim != claim) return;
  if (!result) {
    LogEvent(LogLevel::kInfo, "claim_failed",
             {{"partition", partition.value()},
              {"detail", ToString(result.assume_error())}});
    return StepPartition(service, entry, PartitionEvent::kClaimFailed);
  }
  const bool is_in_time =
      HoldsLease(service.m_membership, service.m_runtime.m_clock.m_now());
  if (!is_in_time) {
    return StepPartition(service, entry, PartitionEvent::kLeaseLapsed);
  }
  entry.m_owned = std::make_shared<OwnedPartition>();
  entry.m_owned->m_claimed = std::move(result).assume_value();
  StepPartition(service, entry, PartitionEvent::kClaimed);
  const PartitionEngine& engine = EngineOf(entry);
  LogEvent(LogLevel::kInfo, "partition_claimed",
           {{"partition", partition.value()},
            {"epoch", engine.m_journal.m_epoch.value()},
            {"open_tasks",
             static_cast<std::uint64_t>(engine.m_state.m_tasks.size())}});
  ListWorkersOf(service, entry);
}

void Claim(PartitionService& service, PartitionEntry& entry) {
  ClaimParameters parameters;
  parameters.m_partition = entry.m_id;
  parameters.m_node = service.m_membership.m_table.m_self.m_node;
  parameters.m_incarnation = service.m_membership.m_table.m_self.m_incarnation;
  parameters.m_machines = &service.m_runtime.m_machines.m_placement;
  parameters.m_now = service.m_runtime.m_clock.m_now;
  const std::uint64_t claim = ++entry.m_claim;
  entry.m_may_hold_head = true;
  ClaimPartition(service.m_runtime.m_platform, parameters,
                 [&service, partition = entry.m_id,
                  claim](Result<ClaimedPartition> result) {
                   OnClaimed(service, partition, claim, std::move(result));
                 });
}

void Release(PartitionService& service, PartitionEntry& entry) {
  if (entry.m_is_releasing) return;
  entry.m_is_releasing = true;
  const Member& self = service.m_membership.m_table.m_self;
  ReleasePartition(
      service.m_runtime.m_platform, entry.m_id, self.m_node, self.m_incarnation,
      [&service, partition = entry.m_id](bool is_released) {
        PartitionEntry& released = service.m_entries.at(partition);
        released.m_is_releasing = false;
        if (!is_released) return;
        released.m_may_hold_head = false;
        StepPartition(service, released, PartitionEvent::kHandedOver);
      });
}

void StepPartition(PartitionService& service, PartitionEntry& entry,
                   PartitionEvent event) {
  PartitionContext context;
  context.m_now = service.m_runtime.m_clock.m_now();
  context.m_retry_at = entry.m_retry_at;
  context.m_may_hold_head = entry.m_may_hold_head;
  context.m_is_release_sent = entry.m_is_releasing || entry.m_is_release_sent;
  service.m_runtime.m_machines.m_partition.Step(entry.m_phase, event, context);
  entry.m_retry_at = context.m_retry_at;
  if (context.m_should_drop) {
    ++entry.m_claim;
    DropPartition(service, entry);
  }
  if (context.m_should_claim) Claim(service, entry);
  if (context.m_should_release) Release(service, entry);
}

void OnExchanged(PartitionService& service, const PartitionId& partition,
                 const std::shared_ptr<OwnedPartition>& owned,
                 const WorkerId& worker, const Result<WorkerReport>& result) {
  PartitionEntry& entry = service.m_entries.at(partition);
  if (entry.m_owned != owned || owned->m_is_dropped) return;
  if (entry.m_is_release_sent) return;
  const TimePoint now = service.m_runtime.m_clock.m_now();
  entry.m_links[worker].m_is_busy = false;
  if (!HoldsLease(service.m_membership, now)) return;
  if (!result) {
    NoteUnanswered(EngineOf(entry), worker);
    service.m_runtime.m_metrics.IncrementCounter("worker_exchanges_total",
                                                 "outcome=\"failed\"");
    return;
  }
  ApplyReport(EngineOf(entry), service.m_runtime.m_machines.m_placement, worker,
              result.assume_value(), now);
  Pump(service, entry);
}

void Exchange(PartitionService& service, PartitionEntry& entry,
              const WorkerId& worker, WorkerLink& link, TimePoint now) {
  const Settings& settings = service.m_runtime.m_settings;
  link.m_is_busy = true;
  // Counted from when it was due, so that workers keep apart.
  link.m_next_at = std::max(link.m_next_at + settings.m_worker_poll_interval,
                            now + settings.m_worker_poll_interval / 2);
  const WorkerControl control =
      BuildControl(EngineOf(entry), worker, settings.m_worker_lease);
  service.m_runtime.m_workers.m_exchange(
      link.m_address, worker, control, kExchangeTimeout,
      [&service, partition = entry.m_id, owned = entry.m_owned,
       worker](const Result<WorkerReport>& result) {
        OnExchanged(service, partition, owned, worker, result);
      });
}

void ExchangeDue(PartitionService& service, PartitionEntry& entry,
                 TimePoint now) {
  const auto& urgent = EngineOf(entry).m_urgent_exchanges;
  for (auto& [worker, link] : entry.m_links) {
    if (link.m_is_busy) continue;
    if (EngineOf(entry).m_state.m_workers.count(worker) == 0) continue;
    if (now < link.m_next_at && urgent.count(worker) == 0) continue;
    Exchange(service, entry, worker, link, now);
  }
}

void RunOwned(PartitionService& service, PartitionEntry& entry, TimePoint now) {
  if (entry.m_is_release_sent) return;
  const PlacementMachines& machines = service.m_runtime.m_machines.m_placement;
  PartitionEngine& engine = EngineOf(entry);
  CheckWorkers(engine, machines, service.m_runtime.m_settings.m_worker_lease,
               now);
  // Without the store nothing can be made durable, so nothing is placed.
  const bool may_place =
      entry.m_phase == PartitionPhase::kOwned &&
      service.m_runtime.m_store_health.m_state != StoreState::kDown;
  if (may_place) {
    PlaceTasks(engine, machines, service.m_configuration.m_current,
               service.m_partitions.size(), now);
  }
  Pump(service, entry);
  if (!entry.m_owned) return;
  ExchangeDue(service, entry, now);
}

void RunHandOver(PartitionService& service, PartitionEntry& entry,
                 TimePoint now) {
  if (!IsFlushed(*entry.m_owned) || now < entry.m_retry_at) return;
  entry.m_retry_at = now + kClaimRetryInterval;
  entry.m_is_release_sent = true;
  Release(service, entry);
}

void Reassign(PartitionService& service) {
  std::vector<NodeId> candidates = PartitionCandidates(
      service.m_membership.m_table, service.m_runtime.m_clock.m_now());
  if (candidates == service.m_assigned_for) return;
  service.m_assignment = AssignPartitions(service.m_partitions, candidates);
  service.m_assigned_for = std::move(candidates);
}

bool IsAssignedHere(const PartitionService& service,
                    const PartitionId& partition) {
  if (service.m_is_draining) return false;
  const auto owner = service.m_assignment.find(partition);
  return owner != service.m_assignment.end() &&
         owner->second == service.m_membership.m_table.m_self.m_node;
}

}  // namespace

PartitionEngine& EngineOf(const PartitionEntry& entry) {
  return entry.m_owned->m_claimed.m_engine;
}

JobStatus StatusOfJob(const PartitionEngine& engine, const Job& job) {
  JobStatus status;
  status.m_job = job;
  for (std::uint32_t index = 0; index < job.m_request.m_task_count; ++index) {
    const auto task = engine.m_state.m_tasks.find(TaskId{job.m_id, index});
    if (task == engine.m_state.m_tasks.end()) continue;
    if (IsActive(task->second.m_state)) {
      ++status.m_active;
    } else {
      ++status.m_queued;
    }
  }
  return status;
}

void PumpPartition(PartitionService& service, PartitionEntry& entry) {
  Pump(service, entry);
}

const Member* AssignedOwner(PartitionService& service,
                            const PartitionId& partition) {
  Reassign(service);
  const auto owner = service.m_assignment.find(partition);
  if (owner == service.m_assignment.end()) return nullptr;
  return FindMember(service.m_membership.m_table.m_members, owner->second);
}

void StartPartitions(PartitionService& service) {
  service.m_partitions = PartitionsOf(service.m_runtime.m_settings);
  for (const PartitionId& partition : service.m_partitions) {
    service.m_entries[partition].m_id = partition;
  }
}

void TickPartitions(PartitionService& service, TimePoint now) {
  Reassign(service);
  const bool holds_lease = HoldsLease(service.m_membership, now);
  for (auto& [partition, entry] : service.m_entries) {
    if (!holds_lease) {
      StepPartition(service, entry, PartitionEvent::kLeaseLapsed);
      continue;
    }
    StepPartition(service, entry,
                  IsAssignedHere(service, partition)
                      ? PartitionEvent::kAssignedHere
                      : PartitionEvent::kAssignedElsewhere);
    if (!entry.m_owned) continue;
    RunOwned(service, entry, now);
    if (!entry.m_owned) continue;
    if (entry.m_phase == PartitionPhase::kHandingOver) {
      RunHandOver(service, entry, now);
    }
  }
}

void ApplyWorkers(PartitionService& service,
                  const std::vector<ListedWorker>& workers) {
  service.m_workers = workers;
  for (auto& [partition, entry] : service.m_entries) {
    ListWorkersOf(service, entry);
  }
}

std::vector<WorkerStatus> WorkersHere(const PartitionService& service) {
  std::vector<WorkerStatus> workers;
  for (const auto& [partition, entry] : service.m_entries) {
    if (!entry.m_owned) continue;
    for (const auto& [id, worker] : EngineOf(entry).m_state.m_workers) {
      WorkerStatus status;
      status.m_worker = id;
      status.m_partition = partition;
      status.m_state =
          WorkerBinding().m_states[static_cast<std::size_t>(worker.m_state)];
      status.m_capacity = worker.m_capacity;
      status.m_reserved = worker.m_reserved;
      status.m_tasks = static_cast<std::uint32_t>(worker.m_tasks.size());
      workers.push_back(std::move(status));
    }
  }
  return workers;
}

void DrainPartitions(PartitionService& service) {
  service.m_is_draining = true;
}

bool IsDrained(const PartitionService& service) {
  for (const auto& [partition, entry] : service.m_entries) {
    if (entry.m_phase != PartitionPhase::kFollowing) return false;
  }
  return true;
}

std::vector<PartitionId> OwnedPartitions(const PartitionService& service) {
  std::vector<PartitionId> owned;
  for (const auto& [partition, entry] : service.m_entries) {
    if (entry.m_owned) owned.push_back(partition);
  }
  return owned;
}

}  // namespace daisyarch
