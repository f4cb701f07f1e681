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

/// The messages between an owner and one of its workers.
struct WorkerLink {
  std::string m_address;
  bool m_is_exchange_pending = false;
  TimePoint m_next_poll_at{};
};

/// This node's part in one partition.
struct PartitionEntry {
  PartitionId m_id;
  PartitionPhase m_phase = PartitionPhase::kFollowing;
  TimePoint m_retry_at{};
  std::uint64_t m_claim_number =
      0;  ///< Tells an outdated claim's answer apart.
  std::shared_ptr<OwnedPartition> m_owned;
  std::map<WorkerId, WorkerLink> m_worker_links;
  bool m_is_releasing = false;
  /// A release of the owned partition was sent and may land at any time:
  /// nothing more is done as its owner.
  bool m_is_release_sent = false;
  bool m_may_hold_head = false;  ///< The store may name this node as owner.
};

/// What a submitter or operator is told about a job.
struct JobStatus {
  Job m_job;
  std::uint32_t m_queued = 0;
  std::uint32_t m_active = 0;
};

/// A worker as its owner sees it.
struct WorkerStatus {
  WorkerId m_worker;
  PartitionId m_partition;
  std::string m_state;
  Resources m_capacity;
  Resources m_reserved;
  std::uint32_t m_tasks = 0;
};

using JobAnswer = std::function<void(Result<JobStatus>)>;

/// Owns partitions, places tasks and talks to their workers.
struct PartitionService {
  Runtime& m_runtime;
  MembershipService& m_membership;
  ConfigurationService& m_configuration;
  std::vector<PartitionId> m_partitions;
  std::map<PartitionId, PartitionEntry> m_entries;
  std::vector<ListedWorker> m_workers;
  std::map<PartitionId, NodeId> m_assignment;
  std::vector<NodeId>
      m_assignment_candidates;  ///< The candidates at that time.
  struct Ticket {
    PartitionId m_partition;
    JobAnswer m_on_answer;
  };
  std::map<TicketId, Ticket> m_tickets;
  TicketId m_next_ticket{1};
  bool m_is_draining = false;
};

/// Sets the partitions of the settings up.
void StartPartitions(PartitionService& service);

/// Claims, hands over, places, commits and exchanges, as is due.
void TickPartitions(PartitionService& service, TimePoint now);

/// Takes the platform's list of workers over.
void ApplyWorkers(PartitionService& service,
                  const std::vector<ListedWorker>& workers);

/// The engine of an owned partition.
PartitionEngine& EngineOf(const PartitionEntry& entry);

/// What is told of a job of an owned partition.
JobStatus MakeJobStatus(const PartitionEngine& engine, const Job& job);

/// Starts what is due on the store, if the node's lease holds.
void AdvancePartitionCommits(PartitionService& service, PartitionEntry& entry);

/// The node that should own the partition at present; null when none can.
const Member* AssignedOwner(PartitionService& service,
                            const PartitionId& partition);

/// The workers of the partitions owned here.
std::vector<WorkerStatus> LocalWorkerStatuses(const PartitionService& service);

/// Gives all partitions back; IsDrained tells when it is done.
void DrainPartitions(PartitionService& service);
bool IsDrained(const PartitionService& service);

/// The owned partitions.
std::vector<PartitionId> OwnedPartitions(const PartitionService& service);

}  // namespace daisyarch
