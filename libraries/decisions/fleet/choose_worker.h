#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Room that a task needs on its worker, or that a worker has.
struct Room {
  Resources m_free;   ///< Not reserved.
  Millicores m_idle;  ///< Processors assumed idle.
};

/// See IncompatibleShare(); computed on demand for the first `m_serving_images`
/// images of a worker. A pass removes no serving image from a worker.
struct SharedWorker {
  double m_incompatible_share = 0;
  std::size_t m_serving_images = 0;
};

/// A pool in one pass.
struct PoolInPass {
  /// Its workers, which may be in quarantine or isolated; null: none.
  const IndexedPool* m_index = nullptr;
  std::vector<Room> m_unavailable;  ///< No worker has that much.
  /// Steps that fit nowhere, by best-effort image; the others under no image.
  std::map<ImageId, std::vector<const StepPlan*>> m_unplaceable;
};

/// A best-effort image in one pass; both vectors are indexed by ServingNumber
/// and extended on demand.
struct ImageInPass {
  /// Effect on each serving image, looked up on first use.
  std::vector<std::optional<PlannedEffect>> m_effects;
  /// Number of workers that the image shares with each serving image.
  std::vector<int> m_trials;
};

/// State of one pass over the waiting steps. A demand that fits on no worker is
/// tried once per pass.
struct PlacementPass {
  Fleet& m_fleet;
  TimePoint m_now;
  bool m_may_have_inherited_runs = false;
  bool m_has_ample_capacity = false;  ///< Few processors are reserved.
  /// The current job has no placed task although the fleet has ample capacity.
  /// Its next task is then placed regardless of interference, and throttling
  /// alone protects the serving tasks.
  bool m_must_start_job = false;
  std::size_t m_starts_left = 0;  ///< Tasks that the pass may still start.
  std::map<PoolId, PoolInPass> m_pools;     ///< Filled by FindPool().
  std::map<ImageId, ImageInPass> m_images;  ///< Best-effort images.
  bool m_has_trials = false;  ///< The trials are counted on first use.
  std::unordered_map<const Worker*, SharedWorker> m_shared_workers;
  /// Workers whose headrooms were computed and are not in the index yet.
  std::vector<Worker*> m_computed_workers;
};

/// A worker that can take a task; the best has the lowest score, and among
/// equals the lowest WorkerId.
struct Candidate {
  std::int64_t m_score = 0;
  Worker* m_worker = nullptr;
};

/// The choice of workers for the tasks of one step in a pass.
struct StepChoice {
  const StepPlan& m_step;
  PoolInPass& m_pool;
  ImageInPass* m_image = nullptr;  ///< Set for a best-effort step.
  Room m_need;
  bool m_has_room = false;  ///< A worker had room when all were looked at.
  bool m_has_candidates = false;
  std::vector<Candidate> m_candidates;  ///< A heap, the best first.
};

/// Returns whether the worker may get tasks of the pool.
bool IsUsable(const Worker& worker, const PoolId& pool, TimePoint now);

/// Returns whether the worker has the label that the step requires, and fewer
/// tasks of the step than the maximum.
bool MeetsConstraints(const Worker& worker, const StepPlan& step,
                      const TaskReference& task);

/// Returns the state of the pool in this pass.
PoolInPass& FindPool(PlacementPass& pass, const PoolId& pool);

/// Returns the resources that a task reserves; no processors for a best-effort
/// task.
Resources ReservedDemand(const StepPlan& step);

/// Returns the room that the step's next task needs.
Room NeededRoom(const StepPlan& step, bool must_start_job);

/// Returns the largest demand of a best-effort task that may wait for which
/// this many idle processors suffice.
Millicores LargestDemandFor(Millicores idle);

/// Returns whether no worker of the pool has this room, as far as earlier steps
/// of the pass have shown.
bool IsUnavailable(const PoolInPass& pool, const Room& needed);
/// Records that no worker of the pool has this room.
void RecordUnavailable(PoolInPass& pool, const Room& needed);

/// Returns the best worker for the task; nullptr if none can take it.
Worker* ChooseWorker(PlacementPass& pass, const PoolId& pool,
                     const StepPlan& step, const TaskReference& task);

/// Starts to choose workers for several tasks of a step.
StepChoice BeginStepChoice(PlacementPass& pass, PoolInPass& pool,
                           const StepPlan& step);

/// Returns the same worker as ChooseWorker(). Between two calls for one step,
/// only a task of this step may start, on the worker that was returned.
Worker* ChooseNextWorker(PlacementPass& pass, StepChoice& choice,
                         const TaskReference& task);

/// Updates the index of the workers whose headrooms the pass has computed.
void IndexComputedWorkers(PlacementPass& pass);

/// Returns whether the tasks reserve so few processors that a job without
/// placed tasks need not wait for a better worker.
bool HasAmpleCapacity(const Fleet& fleet);

/// Returns whether a step that is no harder to place has failed in this pass.
bool IsUnplaceable(const PoolInPass& pool, const StepPlan& step);
/// Records that the step fits on no worker in this pass.
void RecordUnplaceable(PoolInPass& pool, const StepPlan& step);

}  // namespace daisyarch::fleet
