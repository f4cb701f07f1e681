#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "configuration_service.h"
#include "decisions/ownership/partition_chart.h"
#include "journal/partition_commit.h"
#include "membership_service.h"
#include "runtime.h"

namespace daisyarch {

/// An owner's connection state for one of its workers.
struct WorkerLink {
  std::string m_address;
  bool m_is_exchange_pending = false;
  TimePoint m_next_poll_at{};
};

/// This node's state for one partition, owned or not.
struct PartitionEntry {
  PartitionId m_id;
  PartitionPhase m_phase = PartitionPhase::kNotOwned;
  TimePoint m_retry_at{};
  /// Number of the current claim. Answers to an earlier claim are ignored.
  std::uint64_t m_claim_number = 0;
  std::shared_ptr<OwnedPartition> m_owned;
  std::map<WorkerId, WorkerLink> m_worker_links;
  bool m_is_releasing = false;  ///< A release has no answer yet.
  /// A release of the owned partition was sent and may take effect at any
  /// time, so this node no longer acts as the owner.
  bool m_is_release_sent = false;
  bool m_may_hold_head = false;  ///< The store may name this node as owner.
};

/// A job's status as reported to submitters and operators.
struct JobStatus {
  Job m_job;
  std::uint32_t m_queued = 0;  ///< Unfinished tasks that are on no worker.
  std::uint32_t m_active = 0;  ///< Tasks that may be on a worker.
};

/// A worker's status as known to the node that owns its partition.
struct WorkerStatus {
  WorkerId m_worker;
  PartitionId m_partition;
  std::string m_state;
  Resources m_capacity;
  Resources m_reserved;
  std::uint32_t m_tasks = 0;
};

using JobStatusCallback = std::function<void(Result<JobStatus>)>;

/// Claims and owns partitions, places tasks and exchanges messages with their
/// workers.
struct PartitionService {
  Runtime& m_runtime;
  MembershipService& m_membership;
  ConfigurationService& m_configuration;
  std::vector<PartitionId> m_partitions;
  std::map<PartitionId, PartitionEntry> m_entries;
  std::vector<ListedWorker> m_workers;
  std::map<PartitionId, NodeId> m_assignment;
  /// The nodes among which m_assignment distributes the partitions.
  std::vector<NodeId> m_assignment_candidates;
  /// A client whose change has not been committed yet.
  struct Ticket {
    PartitionId m_partition;
    JobStatusCallback m_on_answer;
  };
  std::map<TicketId, Ticket> m_tickets;
  TicketId m_next_ticket{1};
  bool m_is_draining = false;
};

/// Creates an entry for each partition of the settings.
void StartPartitions(PartitionService& service);

/// Runs what is due for each partition: claims, handovers, placement, commits
/// and worker exchanges.
void TickPartitions(PartitionService& service, TimePoint now);

/// Applies the platform's list of workers.
void ApplyWorkers(PartitionService& service,
                  const std::vector<ListedWorker>& workers);

/// Returns the engine of an owned partition.
PartitionEngine& EngineOf(const PartitionEntry& entry);

/// Returns the status of a job of an owned partition.
JobStatus MakeJobStatus(const PartitionEngine& engine, const Job& job);

/// Starts the store writes that are due, if the node's lease holds and no
/// release was sent.
void AdvancePartitionCommits(PartitionService& service, PartitionEntry& entry);

/// Returns the node that is currently assigned to own the partition, or null if
/// there is none.
const Member* AssignedOwner(PartitionService& service,
                            const PartitionId& partition);

/// Returns the workers of the partitions that this node owns.
std::vector<WorkerStatus> LocalWorkerStatuses(const PartitionService& service);

/// Starts to release all partitions; IsDrained returns whether all are
/// released.
void DrainPartitions(PartitionService& service);
bool IsDrained(const PartitionService& service);

/// Returns the partitions that this node owns.
std::vector<PartitionId> OwnedPartitions(const PartitionService& service);

}  // namespace daisyarch
