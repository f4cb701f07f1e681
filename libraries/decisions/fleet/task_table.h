#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "decisions/fleet/fleet_task.h"

namespace daisyarch::fleet {

/// The number of tasks in a block of a TaskTable.
constexpr std::size_t kTasksPerBlock = 128;

/// The tasks of a step. A block of tasks takes memory from the first change of
/// one of them until all of them are done, so that a step costs what runs of it
/// and not what its submitter has asked for.
class TaskTable {
 public:
  TaskTable() = default;
  explicit TaskTable(std::uint32_t count) : m_count(count) {}

  std::size_t size() const { return m_count; }

  /// Returns the task to be changed, and allocates its block.
  Task& operator[](std::size_t index);
  const Task& operator[](std::size_t index) const;

  /// Calls `visit` with the index of each allocated task and the task. All
  /// others are in their initial state or done.
  template <typename Visit>
  void VisitAllocated(Visit visit) {
    for (std::size_t block = 0; block < m_blocks.size(); ++block) {
      std::size_t index = block * kTasksPerBlock;
      for (Task& task : m_blocks[block].m_tasks) visit(index++, task);
    }
  }
  template <typename Visit>
  void VisitAllocated(Visit visit) const {
    for (std::size_t block = 0; block < m_blocks.size(); ++block) {
      std::size_t index = block * kTasksPerBlock;
      for (const Task& task : m_blocks[block].m_tasks) visit(index++, task);
    }
  }

  /// Cancels the tasks that are in their initial state and not allocated.
  void CancelUnallocated() { m_initial_state = RunState::kCancelled; }

  /// Records that the task is done, which is final. Returns whether all tasks
  /// of its block are, so that Free() may be called.
  bool MarkDone(std::size_t index);
  bool IsDone(std::size_t index) const;

  /// Returns the allocated tasks of the block.
  const std::vector<Task>& TasksOf(TaskBlock block) const;
  /// Frees the block, of which all tasks are done. Returns whether it was the
  /// last one that was not free.
  bool Free(TaskBlock block);

 private:
  struct Block {
    std::vector<Task> m_tasks;  ///< Empty: not allocated.
    std::bitset<kTasksPerBlock> m_done;
    bool m_is_free = false;
  };

  std::size_t BlockCount() const {
    return (m_count + kTasksPerBlock - 1) / kTasksPerBlock;
  }
  std::size_t SizeOf(std::size_t block) const;
  Block& BlockOf(std::size_t index);

  std::uint32_t m_count = 0;
  std::uint32_t m_free_blocks = 0;
  RunState m_initial_state = RunState::kWaiting;
  std::vector<Block> m_blocks;  ///< Empty until the first change.
};

/// Returns the block of the task.
TaskBlock BlockOf(std::size_t task_index);

/// Returns a task in this state that is not allocated: waiting, cancelled or
/// done.
const Task& UnallocatedTask(RunState state);

}  // namespace daisyarch::fleet
