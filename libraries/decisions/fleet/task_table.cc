#include "decisions/fleet/task_table.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

Task MakeTask(RunState state) {
  Task task;
  task.m_state = state;
  // Any number shows that the task was started.
  if (state == RunState::kDone) task.m_run = RunNumber(1);
  return task;
}

}  // namespace

TaskBlock BlockOf(std::size_t task_index) {
  return TaskBlock(static_cast<std::uint32_t>(task_index / kTasksPerBlock));
}

const Task& UnallocatedTask(RunState state) {
  static const Task waiting = MakeTask(RunState::kWaiting);
  static const Task cancelled = MakeTask(RunState::kCancelled);
  static const Task done = MakeTask(RunState::kDone);
  if (state == RunState::kDone) return done;
  return state == RunState::kCancelled ? cancelled : waiting;
}

std::size_t TaskTable::SizeOf(std::size_t block) const {
  return std::min(kTasksPerBlock, m_count - block * kTasksPerBlock);
}

TaskTable::Block& TaskTable::BlockOf(std::size_t index) {
  if (m_blocks.empty()) m_blocks.resize(BlockCount());
  return m_blocks[index / kTasksPerBlock];
}

Task& TaskTable::operator[](std::size_t index) {
  Block& block = BlockOf(index);
  if (block.m_tasks.empty()) {
    block.m_tasks.resize(SizeOf(index / kTasksPerBlock));
    for (std::size_t task = 0; task < block.m_tasks.size(); ++task) {
      block.m_tasks[task] = UnallocatedTask(
          block.m_done[task] ? RunState::kDone : m_initial_state);
    }
  }
  return block.m_tasks[index % kTasksPerBlock];
}

const Task& TaskTable::operator[](std::size_t index) const {
  if (m_blocks.empty()) return UnallocatedTask(m_initial_state);
  const Block& block = m_blocks[index / kTasksPerBlock];
  if (!block.m_tasks.empty()) return block.m_tasks[index % kTasksPerBlock];
  return UnallocatedTask(
      block.m_done[index % kTasksPerBlock] ? RunState::kDone : m_initial_state);
}

bool TaskTable::MarkDone(std::size_t index) {
  Block& block = BlockOf(index);
  block.m_done.set(index % kTasksPerBlock);
  if (!block.m_tasks.empty()) {
    block.m_tasks[index % kTasksPerBlock].m_state = RunState::kDone;
  }
  return block.m_done.count() == SizeOf(index / kTasksPerBlock);
}

bool TaskTable::IsDone(std::size_t index) const {
  if (m_blocks.empty()) return false;
  return m_blocks[index / kTasksPerBlock].m_done[index % kTasksPerBlock];
}

const std::vector<Task>& TaskTable::TasksOf(TaskBlock block) const {
  return m_blocks[block.value()].m_tasks;
}

bool TaskTable::Free(TaskBlock block) {
  Block& freed = m_blocks[block.value()];
  freed.m_tasks = {};
  if (freed.m_is_free) return false;
  freed.m_is_free = true;
  return ++m_free_blocks == BlockCount();
}

}  // namespace daisyarch::fleet
