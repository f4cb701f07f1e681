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

/// The interpreted charts that placement uses.
struct PlacementMachines {
  TaskMachine m_task;
  WorkerMachine m_worker;
};

/// Names a caller that waits for a record to become durable.
using TicketId = StrongId<struct TicketIdTag, std::uint64_t>;

/// An effect that is held back until the records before it are durable.
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
  TimePoint m_owned_since{};
  std::vector<DeferredEffect> m_queued_effects;  ///< Of records in the queue.
  std::vector<DeferredEffect> m_in_flight_effects;  ///< Of the batch in flight.
  std::map<WorkerId, std::vector<AttemptId>> m_acknowledgements;
  /// Attempts that run on a worker and should not.
  std::map<WorkerId, std::vector<AttemptId>> m_orphaned_attempts;
  std::set<WorkerId> m_urgent_exchanges;  ///< Workers with new orders.
};

/// More records than this in the queue, and new jobs are refused.
constexpr std::size_t kMaximumQueuedRecords = 2000;
/// The most tasks that one job may have.
constexpr std::uint32_t kMaximumTasksPerJob = 10000;
/// The most jobs that have not ended in one partition.
constexpr std::size_t kMaximumUnfinishedTasks = 100000;

/// Applies a record now and queues it for the journal.
void CommitRecord(PartitionEngine& engine, const PlacementMachines& machines,
                  JournalRecord record);

/// Asks for an active task's attempt to be stopped on its worker.
void RequestStop(PartitionEngine& engine, const PlacementMachines& machines,
                 Task& task);

/// What a submission came to at once.
struct JobAlreadyAccepted {
  JobId m_job;  ///< Accepted before under the same key.
};
struct JobPending {
  JobId m_job;  ///< The reply follows once the record is durable.
};
using SubmitOutcome = std::variant<JobAlreadyAccepted, JobPending>;

/// Accepts a job, or finds it by its key. kNotRun when it is refused for
/// now, kInvalidArgument when no worker could ever hold a task of it,
/// kConflict when the key stands for other work.
Result<SubmitOutcome> SubmitJob(PartitionEngine& engine,
                                const PlacementMachines& machines,
                                const JobRequest& request, TicketId ticket);

/// Cancels a job; idempotent. kNotFound when the job is not here. True when
/// a reply follows, false when there is nothing left to cancel.
Result<bool> CancelJob(PartitionEngine& engine,
                       const PlacementMachines& machines, JobId job,
                       TicketId ticket);

/// Moves the queued effects along with the group that StartWrite took.
std::optional<JournalWrite> StartCommit(PartitionEngine& engine, TimePoint now);

/// Releases the effects of the batch that became durable; the replies are
/// returned, the rest is kept for the workers' next exchanges.
std::vector<DeferredReply> FinishCommit(PartitionEngine& engine);

/// Places queued tasks on workers with room; returns how many.
std::size_t PlaceTasks(PartitionEngine& engine,
                       const PlacementMachines& machines,
                       const Configuration& configuration,
                       std::size_t partitions, TimePoint now);

}  // namespace daisyarch
