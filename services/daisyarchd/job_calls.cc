#include "job_calls.h"

#include <utility>

#include "decisions/ownership/partition_assignment.h"
#include "job_status_fields.h"

namespace daisyarch {

namespace {

constexpr Duration kForwardTimeout = std::chrono::seconds(10);

PartitionId HomeOf(const PartitionService& service, JobId job) {
  return HomePartition(service.m_partitions, job);
}

Result<PartitionEntry*> FindOwned(PartitionService& service, JobId job,
                                  const std::string& step) {
  const PartitionId home = HomeOf(service, job);
  PartitionEntry& entry = service.m_entries.at(home);
  const TimePoint now = service.m_runtime.m_clock.m_now();
  const bool is_owner = entry.m_phase == PartitionPhase::kOwned &&
                        HoldsLease(service.m_membership, now);
  if (is_owner) return &entry;
  return Error{ErrorCode::kNotOwner, step, home.value(),
               "this node does not own the partition"};
}

// A peer's refusal is passed on; that it does not own the partition means
// that nothing happened.
Error ForwardedError(Error error) {
  if (error.m_code == ErrorCode::kNotOwner ||
      error.m_code == ErrorCode::kUnavailable) {
    error.m_code = ErrorCode::kNotRun;
  }
  return error;
}

void Forward(PartitionService& service, JobId job, const std::string& method,
             Json body, const JobAnswer& on_answer) {
  const Member* member = AssignedOwner(service, HomeOf(service, job));
  const bool is_elsewhere =
      member != nullptr &&
      member->m_node != service.m_membership.m_table.m_self.m_node;
  if (!is_elsewhere) {
    return on_answer(Error{ErrorCode::kNotRun, method,
                           HomeOf(service, job).value(),
                           "the partition has no owner at present"});
  }
  service.m_runtime.m_peers.m_call(
      member->m_mesh_address, method, std::move(body), kForwardTimeout,
      [on_answer, node = member->m_node](const Result<Json>& result) {
        if (!result) return on_answer(ForwardedError(result.assume_error()));
        on_answer(Decode<JobStatus>(result.assume_value(), "read job status",
                                    node.value()));
      });
}

bool IsOwnedHere(PartitionService& service, JobId job) {
  return static_cast<bool>(FindOwned(service, job, ""));
}

TicketId AddTicket(PartitionService& service, const PartitionId& partition,
                   const JobAnswer& on_answer) {
  const TicketId ticket = service.m_next_ticket;
  service.m_next_ticket = TicketId(ticket.value() + 1);
  service.m_tickets[ticket] = PartitionService::Ticket{partition, on_answer};
  return ticket;
}

Result<void> CheckStore(const PartitionService& service,
                        const std::string& step) {
  if (service.m_runtime.m_store_health.m_state != StoreState::kDown) {
    return Success();
  }
  return Error{ErrorCode::kNotRun, step, "store", "it does not answer"};
}

}  // namespace

void SubmitJobHere(PartitionService& service, const JobRequest& request,
                   JobAnswer on_answer) {
  const JobId job = DeriveJobId(request.m_member, request.m_key);
  auto found = FindOwned(service, job, "submit job");
  if (!found) return on_answer(std::move(found).assume_error());
  const auto store = CheckStore(service, "submit job");
  if (!store) return on_answer(store.assume_error());
  PartitionEntry& entry = *found.assume_value();
  const TicketId ticket = AddTicket(service, entry.m_id, on_answer);
  auto outcome =
      SubmitJob(EngineOf(entry), service.m_runtime.m_machines.m_placement,
                request, ticket);
  if (!outcome) {
    service.m_tickets.erase(ticket);
    return on_answer(std::move(outcome).assume_error());
  }
  if (std::holds_alternative<JobAlreadyAccepted>(outcome.assume_value())) {
    service.m_tickets.erase(ticket);
    return FindJobHere(service, job, on_answer);
  }
  const TimePoint now = service.m_runtime.m_clock.m_now();
  if (entry.m_phase == PartitionPhase::kOwned) {
    PlaceTasks(EngineOf(entry), service.m_runtime.m_machines.m_placement,
               service.m_configuration.m_current, service.m_partitions.size(),
               now);
  }
  PumpPartition(service, entry);
}

void CancelJobHere(PartitionService& service, JobId job, JobAnswer on_answer) {
  auto found = FindOwned(service, job, "cancel job");
  if (!found) return on_answer(std::move(found).assume_error());
  const auto store = CheckStore(service, "cancel job");
  if (!store) return on_answer(store.assume_error());
  PartitionEntry& entry = *found.assume_value();
  const TicketId ticket = AddTicket(service, entry.m_id, on_answer);
  const auto outcome = CancelJob(
      EngineOf(entry), service.m_runtime.m_machines.m_placement, job, ticket);
  const bool is_pending = outcome && outcome.assume_value();
  if (is_pending) return PumpPartition(service, entry);
  service.m_tickets.erase(ticket);
  if (!outcome) return on_answer(outcome.assume_error());
  FindJobHere(service, job, std::move(on_answer));
}

void FindJobHere(PartitionService& service, JobId job, JobAnswer on_answer) {
  auto found = FindOwned(service, job, "find job");
  if (!found) return on_answer(std::move(found).assume_error());
  const PartitionEngine& engine = EngineOf(*found.assume_value());
  const auto entry = engine.m_state.m_jobs.find(job);
  if (entry == engine.m_state.m_jobs.end()) {
    return on_answer(Error{ErrorCode::kNotFound, "find job",
                           engine.m_partition.value(),
                           "no job " + ToString(job)});
  }
  on_answer(StatusOfJob(engine, entry->second));
}

void SubmitJobAnywhere(PartitionService& service, const JobRequest& request,
                       JobAnswer on_answer) {
  const JobId job = DeriveJobId(request.m_member, request.m_key);
  if (IsOwnedHere(service, job)) {
    return SubmitJobHere(service, request, std::move(on_answer));
  }
  Forward(service, job, "submit_job", Encode(request), on_answer);
}

void CancelJobAnywhere(PartitionService& service, JobId job,
                       JobAnswer on_answer) {
  if (IsOwnedHere(service, job)) {
    return CancelJobHere(service, job, std::move(on_answer));
  }
  Forward(service, job, "cancel_job", ToString(job), on_answer);
}

void FindJobAnywhere(PartitionService& service, JobId job,
                     JobAnswer on_answer) {
  if (IsOwnedHere(service, job)) {
    return FindJobHere(service, job, std::move(on_answer));
  }
  Forward(service, job, "find_job", ToString(job), on_answer);
}

}  // namespace daisyarch
