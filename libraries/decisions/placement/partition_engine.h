#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "decisions/configuration/configuration.h"
#include "decisions/ownership/journal_writer.h"
#include "decisions/placement/headroom.h"
#include "decisions/placement/partition_state.h"
#include "decisions/placement/task_chart.h"
#include "decisions/placement/worker_chart.h"

namespace daisyarch {

/// The state machines that placement uses.
struct PlacementStateMachines {
  TaskStateMachine m_task;
  WorkerStateMachine m_worker;
};

/// Identifies a client that waits for a record to become durable.
using TicketId = StrongId<struct TicketIdTag, std::uint64_t>;

/// Effects that are deferred until the journal records before them are durable.
struct DeferredReply {
  TicketId m_ticket;
  JobId m_job;
};
struct DeferredStart {
  TaskId m_task;
  Attempt m_attempt;
};
struct DeferredAcknowledgement {
  WorkerId m_worker;
  AttemptId m_attempt;
};
using DeferredEffect =
    std::variant<DeferredReply, DeferredStart, DeferredAcknowledgement>;

/// One owned partition: its state with every record applied, and the
/// records and effects that wait for the journal.
struct PartitionEngine {
  PartitionId m_partition;
  PartitionState m_state;
  JournalWriter m_journal;
  ClassDemands m_class_demands;
  TimePoint m_owned_since{};  ///< When this node's claim succeeded.
  std::vector<DeferredEffect> m_queued_effects;     ///< Of queued records.
  std::vector<DeferredEffect> m_in_flight_effects;  ///< Of the batch in flight.
  /// Attempts whose outcome is durable, to be acknowledged to the worker.
  std::map<WorkerId, std::vector<AttemptId>> m_acknowledgements;
  /// Attempts that a worker still runs although they have ended for the owner.
  std::map<WorkerId, std::vector<AttemptId>> m_orphaned_attempts;
  std::set<WorkerId> m_urgent_exchanges;  ///< Workers to contact immediately.
};

/// Limit on queued journal records. No tasks are placed once it is reached, and
/// new jobs are refused once it is exceeded.
constexpr std::size_t kMaximumQueuedRecords = 2000;
/// Limit on the tasks of one job.
constexpr std::uint32_t kMaximumTasksPerJob = 10000;
/// Limit on the unfinished tasks of one partition.
constexpr std::size_t kMaximumUnfinishedTasks = 100000;

/// Applies a record to the state at once and queues it for the journal.
void CommitRecord(PartitionEngine& engine,
                  const PlacementStateMachines& state_machines,
                  JournalRecord record);

/// Requests that the attempt of an active task is stopped on its worker. Has no
/// effect on a task that is not active or is already stopping.
void RequestStop(PartitionEngine& engine,
                 const PlacementStateMachines& state_machines, Task& task);

/// The immediate outcome of a submission.
struct JobAlreadyAccepted {
  JobId m_job;  ///< Accepted earlier under the same key, and durable.
};
struct JobPending {
  JobId m_job;  ///< The reply follows once the job is durable.
};
using SubmitOutcome = std::variant<JobAlreadyAccepted, JobPending>;

/// Accepts a job, or finds it by its key. kNotRun when it is refused for now,
/// kInvalidArgument when the request is invalid or no listed worker is large
/// enough for a task of it, kConflict when the key belongs to a different
/// request.
Result<SubmitOutcome> SubmitJob(PartitionEngine& engine,
                                const PlacementStateMachines& state_machines,
                                const JobRequest& request, TicketId ticket);

/// Cancels a job; idempotent. Returns true when a reply follows, false when all
/// tasks have already ended. kNotFound when the partition has no such job.
Result<bool> CancelJob(PartitionEngine& engine,
                       const PlacementStateMachines& state_machines, JobId job,
                       TicketId ticket);

/// Starts the write of the next group of records, if one is due. The queued
/// effects become those of the batch in flight if the group takes all queued
/// records.
std::optional<JournalWrite> StartCommit(PartitionEngine& engine, TimePoint now);

/// Releases the effects of the batch that became durable. Returns the replies;
/// starts and acknowledgements are sent with the next messages to the workers.
std::vector<DeferredReply> FinishCommit(PartitionEngine& engine);

/// Places queued tasks on workers with enough available capacity. Returns the
/// number of tasks placed.
std::size_t PlaceTasks(PartitionEngine& engine,
                       const PlacementStateMachines& state_machines,
                       const Configuration& configuration,
                       std::size_t partitions, TimePoint now);

}  // namespace daisyarch
