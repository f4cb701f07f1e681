#include "decisions/fleet/slow_worker.h"

namespace daisyarch::fleet {

namespace {

// Slower than a task outside its data rack on the platforms known so far, and
// beyond what the runs of one uneven step make a worker look like.
constexpr double kMuchSlower = 1.8;

}  // namespace

bool IsKnownSlow(const Fleet& fleet, const Worker& worker) {
  const WorkerSlowness* known =
      Find(fleet.m_run_times.m_workers, worker.m_listing.m_worker);
  // Another incarnation may be as fast as others.
  return known != nullptr &&
         known->m_incarnation == worker.m_listing.m_incarnation &&
         SlownessOf(fleet.m_run_times, worker.m_listing.m_worker) > kMuchSlower;
}

}  // namespace daisyarch::fleet
