#include "decisions/placement/partition_engine.h"

#include <algorithm>
#include <utility>

#include "decisions/placement/apply_record.h"

namespace daisyarch {

namespace {

Error MakeRefusal(ErrorCode code, const PartitionEngine& engine,
                  const std::string& detail) {
  return Error{code, "submit job", engine.m_partition.value(), detail};
}

Result<void> CheckRequest(const PartitionEngine& engine,
                          const JobRequest& request) {
  if (request.m_task_count == 0 || request.m_task_count > kMaximumTasksPerJob) {
    return MakeRefusal(ErrorCode::kInvalidArgument, engine,
                       "a job must have 1 to " +
                           std::to_string(kMaximumTasksPerJob) + " tasks");
  }
  const Resources& demand = request.m_demand;
  if (demand.m_processors <= Millicores() || demand.m_memory <= Mebibytes() ||
      demand.m_accelerators < Accelerators()) {
    return MakeRefusal(
        ErrorCode::kInvalidArgument, engine,
        "a task must demand processors and memory, and its accelerators must "
        "not be negative");
  }
  return Success();
}

// Refuses a demand that exceeds every listed worker. The reason names the first
// shortage at the worker with the most processors.
Result<void> CheckFitsAnyWorker(const PartitionEngine& engine,
                                const Resources& demand) {
  const Worker* largest = nullptr;
  for (const auto& [id, worker] : engine.m_state.m_workers) {
    if (!worker.m_is_listed) continue;
    if (Fits(demand, worker.m_capacity)) return Success();
    if (largest == nullptr ||
        largest->m_capacity.m_processors < worker.m_capacity.m_processors) {
      largest = &worker;
    }
  }
  if (largest == nullptr) {
    return MakeRefusal(ErrorCode::kNotRun, engine,
                       "the platform lists no worker of this partition");
  }
  return MakeRefusal(ErrorCode::kInvalidArgument, engine,
                     "can never run: needs more " +
                         FirstShortage(demand, largest->m_capacity) +
                         " than the largest worker, " + largest->m_id.value());
}

Result<void> CheckBacklog(const PartitionEngine& engine,
                          const JobRequest& request) {
  if (engine.m_journal.m_queue.size() > kMaximumQueuedRecords) {
    return MakeRefusal(ErrorCode::kNotRun, engine,
                       "too many records are waiting for the journal");
  }
  if (engine.m_state.m_tasks.size() + request.m_task_count >
      kMaximumUnfinishedTasks) {
    return MakeRefusal(ErrorCode::kNotRun, engine,
                       "too many unfinished tasks in the partition");
  }
  return Success();
}

struct EffectReleaser {
  PartitionEngine& m_engine;
  std::vector<DeferredReply>& m_replies;

  void operator()(const DeferredReply& reply) const {
    m_replies.push_back(reply);
  }

  void operator()(const DeferredStart& start) const {
    const auto task = m_engine.m_state.m_tasks.find(start.m_task);
    if (task == m_engine.m_state.m_tasks.end()) return;
    if (task->second.m_attempt != start.m_attempt) return;
    task->second.m_is_assignment_durable = true;
    m_engine.m_urgent_exchanges.insert(task->second.m_worker);
  }

  void operator()(const DeferredAcknowledgement& acknowledgement) const {
    m_engine.m_acknowledgements[acknowledgement.m_worker].push_back(
        acknowledgement.m_attempt);
  }
};

}  // namespace

void CommitRecord(PartitionEngine& engine,
                  const PlacementStateMachines& state_machines,
                  JournalRecord record) {
  ApplyRecord(engine.m_state, state_machines.m_task, record);
  AppendRecord(engine.m_journal, std::move(record));
}

void RequestStop(PartitionEngine& engine,
                 const PlacementStateMachines& state_machines, Task& task) {
  const WorkerId worker = task.m_worker;
  const StepResult step =
      StepTask(engine.m_state, state_machines.m_task, task,
               TaskEvent::kStopRequested, AttemptOutcome::kStopped, 0);
  if (step == StepResult::kIgnored) return;
  engine.m_urgent_exchanges.insert(worker);
}

Result<SubmitOutcome> SubmitJob(PartitionEngine& engine,
                                const PlacementStateMachines& state_machines,
                                const JobRequest& request, TicketId ticket) {
  TRY(CheckRequest(engine, request));
  const JobId id = DeriveJobId(request.m_member, request.m_key);
  const auto accepted = engine.m_state.m_jobs.find(id);
  if (accepted != engine.m_state.m_jobs.end()) {
    if (!IsSameWork(accepted->second.m_request, request)) {
      return MakeRefusal(ErrorCode::kConflict, engine,
                         "key \"" + request.m_key.value() +
                             "\" was already used for a different request");
    }
    // The first submission may not be durable yet. Its record is queued before
    // this reply, so the reply is not released before the record is durable.
    engine.m_queued_effects.emplace_back(DeferredReply{ticket, id});
    const bool is_flushed = engine.m_journal.m_queue.empty() &&
                            engine.m_journal.m_phase == JournalPhase::kIdle;
    if (!is_flushed) return SubmitOutcome(JobPending{id});
    engine.m_queued_effects.pop_back();
    return SubmitOutcome(JobAlreadyAccepted{id});
  }
  TRY(CheckFitsAnyWorker(engine, request.m_demand));
  TRY(CheckBacklog(engine, request));
  CommitRecord(engine, state_machines, JobAccepted{id, request});
  engine.m_queued_effects.emplace_back(DeferredReply{ticket, id});
  return SubmitOutcome(JobPending{id});
}

Result<bool> CancelJob(PartitionEngine& engine,
                       const PlacementStateMachines& state_machines, JobId job,
                       TicketId ticket) {
  const auto found = engine.m_state.m_jobs.find(job);
  if (found == engine.m_state.m_jobs.end()) {
    return Error{ErrorCode::kNotFound, "cancel job", engine.m_partition.value(),
                 "no job " + ToString(job)};
  }
  if (IsEnded(found->second)) return false;
  CommitRecord(engine, state_machines, JobCancelled{job});
  engine.m_queued_effects.emplace_back(DeferredReply{ticket, job});
  for (std::uint32_t index = 0; index < found->second.m_request.m_task_count;
       ++index) {
    const auto task = engine.m_state.m_tasks.find(TaskId{job, index});
    if (task == engine.m_state.m_tasks.end()) continue;
    RequestStop(engine, state_machines, task->second);
  }
  return true;
}

std::optional<JournalWrite> StartCommit(PartitionEngine& engine,
                                        TimePoint now) {
  std::optional<JournalWrite> write = StartWrite(engine.m_journal, now);
  if (!write) return write;
  // When some records did not fit into the group, all effects wait for a later
  // batch: an effect may be released late, but never early.
  if (!engine.m_journal.m_queue.empty()) return write;
  engine.m_in_flight_effects = std::move(engine.m_queued_effects);
  engine.m_queued_effects.clear();
  return write;
}

std::vector<DeferredReply> FinishCommit(PartitionEngine& engine) {
  std::vector<DeferredReply> replies;
  std::vector<DeferredEffect> effects = std::move(engine.m_in_flight_effects);
  engine.m_in_flight_effects.clear();
  // Effects queued during the write without a record of their own would
  // otherwise wait for a further batch, which may never come.
  if (engine.m_journal.m_queue.empty()) {
    effects.insert(effects.end(), engine.m_queued_effects.begin(),
                   engine.m_queued_effects.end());
    engine.m_queued_effects.clear();
  }
  for (const DeferredEffect& effect : effects) {
    std::visit(EffectReleaser{engine, replies}, effect);
  }
  return replies;
}

}  // namespace daisyarch
