#include "job_calls.h"

#include <utility>

#include "decisions/ownership/partition_assignment.h"
#include "job_status_fields.h"

namespace daisyarch {

namespace {

constexpr Duration kForwardTimeout = std::chrono::seconds(10);

PartitionId HomePartitionOf(const PartitionService& service, JobId job) {
  return HomePartition(service.m_partitions, job);
}

Result<PartitionEntry*> FindOwnedPartition(PartitionService& service, JobId job,
                                           const std::string& step) {
  const PartitionId home = HomePartitionOf(service, job);
  PartitionEntry& entry = service.m_entries.at(home);
  const TimePoint now = service.m_runtime.m_clock.m_now();
  const bool is_owner = entry.m_phase == PartitionPhase::kOwned &&
                        HoldsLease(service.m_membership, now);
  if (is_owner) return &entry;
  return Error{ErrorCode::kNotOwner, step, home.value(),
               "this node does not own the partition"};
}

// Passes a peer's error on. If the peer does not own the partition or could not
// be reached, nothing was done, so the code becomes kNotRun.
Error MapForwardedError(Error error) {
  if (error.m_code == ErrorCode::kNotOwner ||
      error.m_code == ErrorCode::kUnavailable) {
    error.m_code = ErrorCode::kNotRun;
  }
  return error;
}

void ForwardToOwner(PartitionService& service, JobId job,
                    const std::string& method, Json body,
                    const JobStatusCallback& on_answer) {
  const Member* member = AssignedOwner(service, HomePartitionOf(service, job));
  const bool is_owner_remote =
      member != nullptr &&
      member->m_node != service.m_membership.m_table.m_self.m_node;
  if (!is_owner_remote) {
    return on_answer(Error{ErrorCode::kNotRun, method,
                           HomePartitionOf(service, job).value(),
                           "the partition currently has no owner"});
  }
  service.m_runtime.m_peers.m_call(
      member->m_mesh_address, method, std::move(body), kForwardTimeout,
      [on_answer, node = member->m_node](const Result<Json>& result) {
        if (!result) return on_answer(MapForwardedError(result.assume_error()));
        on_answer(Decode<JobStatus>(result.assume_value(), "read job status",
                                    node.value()));
      });
}

bool IsOwnedLocally(PartitionService& service, JobId job) {
  return static_cast<bool>(FindOwnedPartition(service, job, ""));
}

TicketId AddTicket(PartitionService& service, const PartitionId& partition,
                   const JobStatusCallback& on_answer) {
  const TicketId ticket = service.m_next_ticket;
  service.m_next_ticket = TicketId(ticket.value() + 1);
  service.m_tickets[ticket] = PartitionService::Ticket{partition, on_answer};
  return ticket;
}

Result<void> CheckStoreIsUp(const PartitionService& service,
                            const std::string& step) {
  if (service.m_runtime.m_store_health.m_state != StoreState::kDown) {
    return Success();
  }
  return Error{ErrorCode::kNotRun, step, "store", "the store is down"};
}

}  // namespace

void SubmitJobLocally(PartitionService& service, const JobRequest& request,
                      JobStatusCallback on_answer) {
  const JobId job = DeriveJobId(request.m_member, request.m_key);
  auto found = FindOwnedPartition(service, job, "submit job");
  if (!found) return on_answer(std::move(found).assume_error());
  const auto store = CheckStoreIsUp(service, "submit job");
  if (!store) return on_answer(store.assume_error());
  PartitionEntry& entry = *found.assume_value();
  const TicketId ticket = AddTicket(service, entry.m_id, on_answer);
  auto outcome =
      SubmitJob(EngineOf(entry), service.m_runtime.m_state_machines.m_placement,
                request, ticket);
  if (!outcome) {
    service.m_tickets.erase(ticket);
    return on_answer(std::move(outcome).assume_error());
  }
  if (std::holds_alternative<JobAlreadyAccepted>(outcome.assume_value())) {
    service.m_tickets.erase(ticket);
    return FindJobLocally(service, job, on_answer);
  }
  const TimePoint now = service.m_runtime.m_clock.m_now();
  if (entry.m_phase == PartitionPhase::kOwned) {
    PlaceTasks(EngineOf(entry), service.m_runtime.m_state_machines.m_placement,
               service.m_configuration.m_current, service.m_partitions.size(),
               now);
  }
  AdvancePartitionCommits(service, entry);
}

void CancelJobLocally(PartitionService& service, JobId job,
                      JobStatusCallback on_answer) {
  auto found = FindOwnedPartition(service, job, "cancel job");
  if (!found) return on_answer(std::move(found).assume_error());
  const auto store = CheckStoreIsUp(service, "cancel job");
  if (!store) return on_answer(store.assume_error());
  PartitionEntry& entry = *found.assume_value();
  const TicketId ticket = AddTicket(service, entry.m_id, on_answer);
  const auto outcome =
      CancelJob(EngineOf(entry), service.m_runtime.m_state_machines.m_placement,
                job, ticket);
  const bool is_pending = outcome && outcome.assume_value();
  if (is_pending) return AdvancePartitionCommits(service, entry);
  service.m_tickets.erase(ticket);
  if (!outcome) return on_answer(outcome.assume_error());
  FindJobLocally(service, job, std::move(on_answer));
}

void FindJobLocally(PartitionService& service, JobId job,
                    JobStatusCallback on_answer) {
  auto found = FindOwnedPartition(service, job, "find job");
  if (!found) return on_answer(std::move(found).assume_error());
  const PartitionEngine& engine = EngineOf(*found.assume_value());
  const auto entry = engine.m_state.m_jobs.find(job);
  if (entry == engine.m_state.m_jobs.end()) {
    return on_answer(Error{ErrorCode::kNotFound, "find job",
                           engine.m_partition.value(),
                           "unknown job " + ToString(job)});
  }
  on_answer(MakeJobStatus(engine, entry->second));
}

void SubmitJobToOwner(PartitionService& service, const JobRequest& request,
                      JobStatusCallback on_answer) {
  const JobId job = DeriveJobId(request.m_member, request.m_key);
  if (IsOwnedLocally(service, job)) {
    return SubmitJobLocally(service, request, std::move(on_answer));
  }
  ForwardToOwner(service, job, "submit_job", Encode(request), on_answer);
}

void CancelJobAtOwner(PartitionService& service, JobId job,
                      JobStatusCallback on_answer) {
  if (IsOwnedLocally(service, job)) {
    return CancelJobLocally(service, job, std::move(on_answer));
  }
  ForwardToOwner(service, job, "cancel_job", ToString(job), on_answer);
}

void FindJobAtOwner(PartitionService& service, JobId job,
                    JobStatusCallback on_answer) {
  if (IsOwnedLocally(service, job)) {
    return FindJobLocally(service, job, std::move(on_answer));
  }
  ForwardToOwner(service, job, "find_job", ToString(job), on_answer);
}

}  // namespace daisyarch
