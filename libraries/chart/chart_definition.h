#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace daisyarch {

/// One transition as it is written in the file.
struct TransitionDefinition {
  std::string m_event;
  std::string m_condition;  ///< Empty when unguarded.
  std::string m_target;     ///< Empty when the state does not change.
  std::vector<std::string> m_actions;
  int m_line = 0;
};

/// One state as it is written in the file.
struct StateDefinition {
  static constexpr std::size_t kNoParent = static_cast<std::size_t>(-1);

  std::string m_name;
  std::size_t m_parent = kNoParent;  ///< Index of the enclosing state.
  std::string m_initial;             ///< The child entered first; or empty.
  bool m_is_final = false;
  std::vector<std::string> m_entry_actions;
  std::vector<std::string> m_exit_actions;
  std::vector<TransitionDefinition> m_transitions;
  std::vector<std::string> m_ignored_events;
  int m_line = 0;
};

/// States that may never be reached from a given one.
struct InvariantDefinition {
  std::string m_from;
  std::vector<std::string> m_never;
  int m_line = 0;
};

/// A state chart as it is written in the file; parents precede children.
struct ChartDefinition {
  std::string m_file;
  std::string m_name;
  std::string m_initial;
  std::vector<std::string> m_events;
  std::vector<StateDefinition> m_states;
  std::vector<InvariantDefinition> m_invariants;
};

}  // namespace daisyarch
