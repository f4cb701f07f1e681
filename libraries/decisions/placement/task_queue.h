#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/task_id.h"
#include "base/time.h"

namespace daisyarch {

/// Determines the position of a queued task.
struct QueueKey {
  ClassId m_class;
  TeamId m_team;
  std::int64_t m_start_by_unix_milliseconds = 0;  ///< Start deadline.
};

/// The queued tasks of one class and team, ordered by start deadline.
struct TeamQueue {
  /// Start deadline in Unix milliseconds, and task.
  std::set<std::pair<std::int64_t, TaskId>> m_tasks;
};

/// Queued tasks by class and team.
struct TaskQueue {
  std::map<ClassId, std::map<TeamId, TeamQueue>> m_classes;
  std::size_t m_size = 0;  ///< Tasks in all queues.
};

/// Does nothing when the task is already queued under the key.
void PushTask(TaskQueue& queue, const QueueKey& key, const TaskId& task);

/// Does nothing when the task is not queued under the key.
void EraseTask(TaskQueue& queue, const QueueKey& key, const TaskId& task);

}  // namespace daisyarch
