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

// Answers the clients of uncommitted changes with kOutcomeUnknown: their
// records may or may not have become durable.
void FailTickets(PartitionService& service, const PartitionId& partition) {
  std::vector<JobStatusCallback> answers;
  for (auto ticket = service.m_tickets.begin();
       ticket != service.m_tickets.end();) {
    if (ticket->second.m_partition != partition) {
      ++ticket;
      continue;
    }
    answers.push_back(std::move(ticket->second.m_on_answer));
    ticket = service.m_tickets.erase(ticket);
  }
  for (const JobStatusCallback& on_answer : answers) {
    on_answer(Error{ErrorCode::kOutcomeUnknown, "commit job", partition.value(),
                    "this node lost the partition before the commit was "
                    "confirmed"});
  }
}

void DropPartition(PartitionService& service, PartitionEntry& entry) {
  if (!entry.m_owned) return;
  LogEvent(LogLevel::kWarning, "partition_dropped",
           {{"partition", entry.m_id.value()}});
  entry.m_owned->m_is_dropped = true;
  entry.m_owned.reset();
  entry.m_worker_links.clear();
  entry.m_is_release_sent = false;
  FailTickets(service, entry.m_id);
}

void OnCommitted(PartitionService& service, const PartitionId& partition,
                 const std::vector<DeferredReply>& replies) {
  const PartitionEntry& entry = service.m_entries.at(partition);
  for (const DeferredReply& reply : replies) {
    const auto ticket = service.m_tickets.find(reply.m_ticket);
    if (ticket == service.m_tickets.end()) continue;
    const JobStatusCallback on_answer = std::move(ticket->second.m_on_answer);
    service.m_tickets.erase(ticket);
    const PartitionEngine& engine = EngineOf(entry);
    const auto job = engine.m_state.m_jobs.find(reply.m_job);
    if (job == engine.m_state.m_jobs.end()) continue;
    on_answer(MakeJobStatus(engine, job->second));
  }
}

CommitObserver MakeCommitObserver(PartitionService& service,
                                  const PartitionId& partition) {
  CommitObserver observer;
  observer.m_on_committed =
      [&service, partition](const std::vector<DeferredReply>& replies) {
        OnCommitted(service, partition, replies);
      };
  observer.m_on_fenced = [&service, partition] {
    StepPartition(service, service.m_entries.at(partition),
                  PartitionEvent::kFenced);
  };
  observer.m_now = service.m_runtime.m_clock.m_now;
  return observer;
}

void AdvanceOwnedCommits(PartitionService& service, PartitionEntry& entry) {
  if (!entry.m_owned || entry.m_is_release_sent) return;
  // The lease is checked again right before writing, because the process may
  // have been paused since the event was handled.
  if (!HoldsLease(service.m_membership, service.m_runtime.m_clock.m_now())) {
    return;
  }
  // Holds a reference, because a fenced write drops the partition.
  const std::shared_ptr<OwnedPartition> owned = entry.m_owned;
  AdvanceCommits(service.m_runtime.m_platform, owned,
                 MakeCommitObserver(service, entry.m_id));
}

std::vector<WorkerListing> WorkerListingOf(const PartitionService& service,
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

// Spreads the first polls of the workers over the poll interval. Polling all of
// them at the same time would block the loop and delay answers to requests.
TimePoint FirstPollAt(const PartitionService& service,
                      const ListedWorker& worker) {
  const Duration interval = service.m_runtime.m_settings.m_worker_poll_interval;
  const auto offset = StableHash(worker.m_worker.value()) %
                      static_cast<std::uint64_t>(interval.count());
  return service.m_runtime.m_clock.m_now() +
         Duration(static_cast<Duration::rep>(offset));
}

void ApplyWorkerListing(PartitionService& service, PartitionEntry& entry) {
  if (!entry.m_owned || service.m_workers.empty()) return;
  ApplyListing(EngineOf(entry), service.m_runtime.m_state_machines.m_placement,
               WorkerListingOf(service, entry.m_id));
  for (const ListedWorker& worker : service.m_workers) {
    const PartitionId home = PartitionOf(
        service.m_runtime.m_settings, worker.m_failure_domain, worker.m_rack);
    if (home != entry.m_id) continue;
    const auto [link, is_new] =
        entry.m_worker_links.try_emplace(worker.m_worker);
    link->second.m_address = worker.m_address;
    if (is_new) link->second.m_next_poll_at = FirstPollAt(service, worker);
  }
}

void OnClaimAnswered(PartitionService& service, const PartitionId& partition,
                     std::uint64_t claim, Result<ClaimedPartition> result) {
  PartitionEntry& entry = service.m_entries.at(partition);
  if (entry.m_claim_number != claim) return;
  if (!result) {
    LogEvent(LogLevel::kInfo, "claim_failed",
             {{"partition", partition.value()},
              {"detail", ToString(result.assume_error())}});
    return StepPartition(service, entry, PartitionEvent::kClaimFailed);
  }
  const bool holds_lease =
      HoldsLease(service.m_membership, service.m_runtime.m_clock.m_now());
  if (!holds_lease) {
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
  ApplyWorkerListing(service, entry);
}

void StartClaim(PartitionService& service, PartitionEntry& entry) {
  ClaimParameters parameters;
  parameters.m_partition = entry.m_id;
  parameters.m_node = service.m_membership.m_table.m_self.m_node;
  parameters.m_incarnation = service.m_membership.m_table.m_self.m_incarnation;
  parameters.m_state_machines = &service.m_runtime.m_state_machines.m_placement;
  parameters.m_now = service.m_runtime.m_clock.m_now;
  const std::uint64_t claim = ++entry.m_claim_number;
  entry.m_may_hold_head = true;
  ClaimPartition(service.m_runtime.m_platform, parameters,
                 [&service, partition = entry.m_id,
                  claim](Result<ClaimedPartition> result) {
                   OnClaimAnswered(service, partition, claim,
                                   std::move(result));
                 });
}

void StartRelease(PartitionService& service, PartitionEntry& entry) {
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
  service.m_runtime.m_state_machines.m_partition.Step(entry.m_phase, event,
                                                      context);
  entry.m_retry_at = context.m_retry_at;
  if (context.m_should_drop_state) {
    ++entry.m_claim_number;
    DropPartition(service, entry);
  }
  if (context.m_should_claim) StartClaim(service, entry);
  if (context.m_should_release) StartRelease(service, entry);
}

void OnExchangeAnswered(PartitionService& service, const PartitionId& partition,
                        const std::shared_ptr<OwnedPartition>& owned,
                        const WorkerId& worker,
                        const Result<WorkerReport>& result) {
  PartitionEntry& entry = service.m_entries.at(partition);
  if (entry.m_owned != owned || owned->m_is_dropped) return;
  if (entry.m_is_release_sent) return;
  const TimePoint now = service.m_runtime.m_clock.m_now();
  entry.m_worker_links[worker].m_is_exchange_pending = false;
  if (!HoldsLease(service.m_membership, now)) return;
  if (!result) {
    RecordUnansweredMessage(EngineOf(entry), worker);
    service.m_runtime.m_metrics.IncrementCounter("worker_exchanges_total",
                                                 "outcome=\"failed\"");
    return;
  }
  ApplyReport(EngineOf(entry), service.m_runtime.m_state_machines.m_placement,
              worker, result.assume_value(), now);
  AdvanceOwnedCommits(service, entry);
}

void ExchangeWithWorker(PartitionService& service, PartitionEntry& entry,
                        const WorkerId& worker, WorkerLink& link,
                        TimePoint now) {
  const Settings& settings = service.m_runtime.m_settings;
  link.m_is_exchange_pending = true;
  // Counted from the time when the exchange was due, so that the polls of
  // different workers stay spread over the interval.
  link.m_next_poll_at =
      std::max(link.m_next_poll_at + settings.m_worker_poll_interval,
               now + settings.m_worker_poll_interval / 2);
  const WorkerControl control =
      BuildControl(EngineOf(entry), worker, settings.m_worker_lease);
  service.m_runtime.m_workers.m_exchange(
      link.m_address, worker, control, kExchangeTimeout,
      [&service, partition = entry.m_id, owned = entry.m_owned,
       worker](const Result<WorkerReport>& result) {
        OnExchangeAnswered(service, partition, owned, worker, result);
      });
}

void ExchangeWithDueWorkers(PartitionService& service, PartitionEntry& entry,
                            TimePoint now) {
  const auto& urgent = EngineOf(entry).m_urgent_exchanges;
  for (auto& [worker, link] : entry.m_worker_links) {
    if (link.m_is_exchange_pending) continue;
    if (EngineOf(entry).m_state.m_workers.count(worker) == 0) continue;
    if (now < link.m_next_poll_at && urgent.count(worker) == 0) continue;
    ExchangeWithWorker(service, entry, worker, link, now);
  }
}

void RunOwnedPartition(PartitionService& service, PartitionEntry& entry,
                       TimePoint now) {
  if (entry.m_is_release_sent) return;
  const PlacementStateMachines& state_machines =
      service.m_runtime.m_state_machines.m_placement;
  PartitionEngine& engine = EngineOf(entry);
  CheckWorkers(engine, state_machines,
               service.m_runtime.m_settings.m_worker_lease, now);
  // While the store is down nothing can be made durable, so nothing is placed.
  const bool may_place =
      entry.m_phase == PartitionPhase::kOwned &&
      service.m_runtime.m_store_health.m_state != StoreState::kDown;
  if (may_place) {
    PlaceTasks(engine, state_machines, service.m_configuration.m_current,
               service.m_partitions.size(), now);
  }
  AdvanceOwnedCommits(service, entry);
  if (!entry.m_owned) return;
  ExchangeWithDueWorkers(service, entry, now);
}

void RunHandover(PartitionService& service, PartitionEntry& entry,
                 TimePoint now) {
  if (!IsFlushed(*entry.m_owned) || now < entry.m_retry_at) return;
  entry.m_retry_at = now + kClaimRetryInterval;
  entry.m_is_release_sent = true;
  StartRelease(service, entry);
}

void UpdateAssignment(PartitionService& service) {
  std::vector<NodeId> candidates = PartitionCandidates(
      service.m_membership.m_table, service.m_runtime.m_clock.m_now());
  if (candidates == service.m_assignment_candidates) return;
  service.m_assignment = AssignPartitions(service.m_partitions, candidates);
  service.m_assignment_candidates = std::move(candidates);
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

JobStatus MakeJobStatus(const PartitionEngine& engine, const Job& job) {
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

void AdvancePartitionCommits(PartitionService& service, PartitionEntry& entry) {
  AdvanceOwnedCommits(service, entry);
}

const Member* AssignedOwner(PartitionService& service,
                            const PartitionId& partition) {
  UpdateAssignment(service);
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
  UpdateAssignment(service);
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
    RunOwnedPartition(service, entry, now);
    if (!entry.m_owned) continue;
    if (entry.m_phase == PartitionPhase::kHandingOver) {
      RunHandover(service, entry, now);
    }
  }
}

void ApplyWorkers(PartitionService& service,
                  const std::vector<ListedWorker>& workers) {
  service.m_workers = workers;
  for (auto& [partition, entry] : service.m_entries) {
    ApplyWorkerListing(service, entry);
  }
}

std::vector<WorkerStatus> LocalWorkerStatuses(const PartitionService& service) {
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
    if (entry.m_phase != PartitionPhase::kNotOwned) return false;
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
