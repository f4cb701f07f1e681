#include "decisions/placement/worker.h"

namespace daisyarch {

bool AcceptsTasks(const Worker& worker) {
  if (!worker.m_is_listed || worker.m_is_leaving) return false;
  if (worker.m_state == WorkerState::kReady) return true;
  return worker.m_state == WorkerState::kProbing && worker.m_tasks.empty();
}

}  // namespace daisyarch
