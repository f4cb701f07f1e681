#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_loop.h"
#include "fakes/loop_cost.h"
#include "fleet/fleet_node.h"
#include "models/fleet_store_model.h"
#include "models/fleet_worker_model.h"

namespace daisyarch::fleet {

/// Faults of the store and of the links to workers. Probabilities are per call.
struct SiteFaults {
  /// A store call takes effect, but times out.
  double m_answer_loss_probability = 0;
  /// A store call times out and takes effect 1 to 6 s after it was sent.
  double m_late_effect_probability = 0;
  /// Writes of keys with this prefix time out and have no effect; "": none do.
  std::string m_lost_write_prefix;
  /// The store rejects larger values; 0: it has no limit.
  std::size_t m_maximum_value_bytes = 0;
  /// The store rejects writes of keys with this prefix; "": none.
  std::string m_rejected_write_prefix;
  /// Removals of keys with this prefix time out and take effect 4 s after they
  /// were sent; "": none do.
  std::string m_late_removal_prefix;
  /// An order takes effect at the worker, but times out.
  double m_order_answer_loss_probability = 0;
  /// An order times out and arrives 2 to 12 s after it was sent.
  double m_late_order_probability = 0;
  /// A relay carries out a call's orders, but its answer is lost.
  double m_relay_answer_loss_probability = 0;
  /// An order that is still on its way when its worker restarts reaches the
  /// new incarnation. Otherwise it is lost, as with a closed connection.
  bool m_do_orders_outlast_restarts = true;
  TimePoint m_store_down_until{};
  /// While the store is down, calls time out instead of failing at once.
  bool m_is_store_unresponsive = false;
  /// The time that a list call takes, as on a slow link. At 0, it takes as long
  /// as any other call.
  Duration m_list_duration{};
  /// Until then, watches time out, as on dead connections; other calls are
  /// answered.
  TimePoint m_watches_unanswered_until{};
  /// Until then, serving tasks beside unpaused best-effort tasks are over
  /// their latency targets.
  TimePoint m_interference_until{};
};

/// A node of the site. A killed one receives no answers.
struct FakeSiteNode {
  std::string m_name;
  bool m_is_alive = true;
  std::unique_ptr<FleetNode> m_node;
  TimePoint m_store_unreachable_until{};
  std::set<WorkerId> m_unreachable_workers;
  /// Until then, what it and other nodes say to each other is lost.
  TimePoint m_nodes_unreachable_until{};
  /// How much later than due its loop handles answers and ticks. An answer that
  /// it would handle after the call's timeout counts as timed out.
  Duration m_loop_delay{};
  /// After a slow period: when the loop has handled what had arrived in it.
  TimePoint m_backlog_until{};
  ChargedLoop m_loop;  ///< Without costs, unless a test sets them.
};

/// Nodes, store and workers of a site in virtual time. Each start at a worker
/// is checked against the invariants of the site.
struct FakeSite {
  explicit FakeSite(std::uint64_t seed) : m_loop(seed) {}

  FakeLoop m_loop;
  /// Nodes that are added from now on can be relays, within these limits. The
  /// default makes a site of a few workers use several.
  bool m_has_relays = false;
  RelayLimits m_relay_limits{0, 3, Millicores(100)};
  std::uint64_t m_relayed_orders = 0;  ///< That have arrived at a relay.
  /// See SiteSettings, of the nodes that are added from now on.
  std::optional<Duration> m_evacuation_period;
  FleetStoreModel m_store;
  SiteFaults m_faults;
  std::map<WorkerId, std::unique_ptr<FleetWorkerModel>> m_workers;
  std::set<WorkerId> m_unlisted_workers;
  /// What the workers have written of themselves; an entry in the store holds
  /// an index into it.
  std::vector<ListedWorker> m_written_entries;
  std::vector<std::unique_ptr<FakeSiteNode>> m_nodes;
  JobRoutes m_routes;
  std::map<JobKey, JobPlan> m_submitted;
  /// Jobs that an answer to the client has confirmed as stored.
  std::set<JobKey> m_accepted;
  /// Jobs whose cancellation was requested, and when it was seen to be stored.
  std::set<JobKey> m_cancelled;
  std::map<JobKey, TimePoint> m_cancelled_at;
  std::string m_violation;  ///< The first broken invariant, or "".
  /// The first task with a start after the end of its done run, if that end was
  /// acknowledged, or "".
  std::string m_repeated_task;
  /// The failed runs of each task, as its workers recorded them.
  std::map<TaskReference, std::set<std::pair<WorkerId, RunNumber>>> m_failures;
  /// Those of them whose ends were acknowledged under an unbroken lease.
  std::set<std::pair<TaskReference, RunNumber>> m_noted_failures;
  std::uint64_t m_starts = 0;
  /// What each task's workers did, for the message of a violation.
  std::map<TaskReference, std::string> m_history;
  /// Numbers the starts and ends of runs in the order in which they happened.
  std::uint64_t m_last_event = 0;
  /// The latest start of each task.
  std::map<TaskReference, std::uint64_t> m_started;
  /// When each done run of a finite task ended.
  std::map<std::pair<TaskReference, RunNumber>, std::uint64_t> m_done;
  /// Finite tasks with a done run that was acknowledged.
  std::set<TaskReference> m_acknowledged;
};

/// Returns the first seed to play: DAISYARCH_SOAK_FIRST_SEED, if set, or 1.
std::uint64_t FirstSeed();
/// Returns how many seeds to play: as many as the environment variable
/// DAISYARCH_SOAK_SEEDS says, if set.
std::uint64_t SeedCount(std::uint64_t seeds_in_ci);

/// Returns one queue "batch" in the pool "pool" with three attempts per task.
JobRoutes MakeTestRoutes();

void AddSiteWorker(FakeSite& site, const std::string& name,
                   const Resources& capacity);
/// Lets the worker announce that it is leaving, and end its process after
/// `notice`. Its runs end with it, and the platform lists it no more.
void DrainSiteWorker(FakeSite& site, FleetWorkerModel& worker, Duration notice);
/// Starts a worker that has left again, under its id.
void ReturnSiteWorker(FakeSite& site, FleetWorkerModel& worker);
FakeSiteNode& AddSiteNode(FakeSite& site, const std::string& name);
/// Kills the node's process.
void KillSiteNode(FakeSite& site, FakeSiteNode& node);
/// Delays everything that the node's loop handles, for `duration`.
void SlowSiteNode(FakeSite& site, FakeSiteNode& node, Duration delay,
                  Duration duration);
/// Returns a live node that serves the leader as a relay, drawn at random;
/// nullptr if there is none.
FakeSiteNode* PickRelay(FakeSite& site);
/// Draws one of the faults of a relay, and lets one that is in use meet with
/// it, for at most 8 s: it is killed and starts again, its loop freezes, or it
/// is cut off from the other nodes or from half of the workers.
void DisturbRelay(FakeSite& site);
/// Stores another configuration, as an operator does.
void Configure(FakeSite& site, const JobRoutes& routes);
/// Evacuates a failure domain or takes that back, as an operator does.
void SetEvacuated(FakeSite& site, const std::string& domain, bool is_evacuated);
/// Returns the node that is the leader, or nullptr.
FakeSiteNode* FindLeader(FakeSite& site);

/// Submits a job to the node, and then every 3 s to the first live node until
/// the job is accepted.
void SubmitToSite(FakeSite& site, FakeSiteNode& node, const JobPlan& plan);

/// Requests a job's cancellation once, from the first live node.
void CancelAtSite(FakeSite& site, const JobKey& key);

/// Returns a job of two steps: `tasks` tasks, and two tasks after them. Each
/// task takes one core.
JobPlan MakeTestJob(int number, std::uint32_t tasks);

/// Returns the stored state of a job, or kQueued if none is stored.
JobState ReadStoredState(const FakeSite& site, const JobKey& key);

/// Returns the key of a submitted job that has neither completed nor
/// failed, or an empty string.
std::string FindUnfinishedJob(const FakeSite& site);

}  // namespace daisyarch::fleet
