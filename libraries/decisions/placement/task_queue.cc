#include "decisions/placement/task_queue.h"

namespace daisyarch {

void PushTask(TaskQueue& queue, const QueueKey& key, const TaskId& task) {
  TeamQueue& team = queue.m_classes[key.m_class][key.m_team];
  const bool is_new =
      team.m_tasks.emplace(key.m_start_by_unix_milliseconds, task).second;
  if (is_new) ++queue.m_size;
}

void EraseTask(TaskQueue& queue, const QueueKey& key, const TaskId& task) {
  const auto teams = queue.m_classes.find(key.m_class);
  if (teams == queue.m_classes.end()) return;
  const auto team = teams->second.find(key.m_team);
  if (team == teams->second.end()) return;
  const std::size_t erased =
      team->second.m_tasks.erase({key.m_start_by_unix_milliseconds, task});
  queue.m_size -= erased;
  if (!team->second.m_tasks.empty()) return;
  teams->second.erase(team);
  if (teams->second.empty()) queue.m_classes.erase(teams);
}

}  // namespace daisyarch
