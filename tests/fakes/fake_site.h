#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_loop.h"
#include "fleet/fleet_node.h"
#include "models/fleet_store_model.h"
#include "models/fleet_worker_model.h"

namespace daisyarch::fleet {

/// Faults of the store and of the links to workers; chances are per call.
struct SiteFaults {
  double m_answer_loss_probability = 0;  ///< Of a store call that took effect.
  double m_late_effect_probability =
      0;  ///< A write without an answer that lands later.
  double m_order_answer_loss_probability =
      0;  ///< An order that takes effect unanswered.
  double m_late_order_probability =
      0;  ///< An order carried out 2 to 12 s later.
  TimePoint m_store_down_until{};
  bool m_is_store_unresponsive = false;  ///< While it is down; else it says so.
  Duration m_list_duration{};  ///< Of long lists on a slow link; 0: as usual.
  /// Calls that wait for changes are never answered, as on connections that
  /// went silent; others are.
  TimePoint m_watches_unanswered_until{};
};

/// A node of the site; a killed one hears no answers any more.
struct FakeSiteNode {
  std::string m_name;
  bool m_is_alive = true;
  std::unique_ptr<FleetNode> m_node;
  TimePoint m_store_unreachable_until{};
  std::set<WorkerId> m_unreachable_workers;
};

/// Nodes, store and workers of a site in virtual time, with what callers and
/// workers see checked after each event.
struct FakeSite {
  explicit FakeSite(std::uint64_t seed) : m_loop(seed) {}

  FakeLoop m_loop;
  FleetStoreModel m_store;
  SiteFaults m_faults;
  std::map<WorkerId, std::unique_ptr<FleetWorkerModel>> m_workers;
  std::set<WorkerId> m_unlisted_workers;
  std::vector<std::unique_ptr<FakeSiteNode>> m_nodes;
  JobRoutes m_routes;
  std::map<JobKey, JobPlan> m_submitted;
  std::set<JobKey> m_accepted;  ///< By callers' knowledge.
  std::string m_violation;      ///< The first rule that was broken.
  std::map<TaskReference, std::set<std::pair<WorkerId, RunNumber>>> m_failures;
  std::uint64_t m_starts = 0;
};

/// One queue "batch" of the pool "pool" with three attempts a task.
JobRoutes MakeTestRoutes();

void AddSiteWorker(FakeSite& site, const std::string& name,
                   const Resources& capacity);
FakeSiteNode& AddSiteNode(FakeSite& site, const std::string& name);
void KillSiteNode(FakeSite& site, FakeSiteNode& node);
/// The operator changes the configuration.
void Configure(FakeSite& site, const JobRoutes& routes);
/// The node that leads, or nullptr.
FakeSiteNode* FindLeader(FakeSite& site);

/// Hands a job in at a node, and again at others until it is accepted.
void SubmitToSite(FakeSite& site, FakeSiteNode& node, const JobPlan& plan);

/// One step of `tasks` tasks of a core each.
JobPlan MakeTestJob(int number, std::uint32_t tasks);

/// The stored state of a job; kQueued while nothing is stored of it.
JobState ReadStoredState(const FakeSite& site, const JobKey& key);

/// Empty, or which accepted job has not ended.
std::string FindUnfinishedJob(const FakeSite& site);

}  // namespace daisyarch::fleet
