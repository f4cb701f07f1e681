#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace daisyarch {

/// A transition as written in the file.
struct TransitionDefinition {
  std::string m_event;
  std::string m_condition;  ///< Name of the guard; empty if unguarded.
  std::string m_target;     ///< Empty if the state does not change.
  std::vector<std::string> m_actions;
  int m_line = 0;
};

/// A state as written in the file.
struct StateDefinition {
  static constexpr std::size_t kNoParent = static_cast<std::size_t>(-1);

  std::string m_name;
  std::size_t m_parent = kNoParent;  ///< Index of the enclosing state.
  std::string m_initial;             ///< Child entered first; empty for a leaf.
  bool m_is_final = false;
  std::vector<std::string> m_entry_actions;
  std::vector<std::string> m_exit_actions;
  std::vector<TransitionDefinition> m_transitions;
  std::vector<std::string> m_ignored_events;
  int m_line = 0;
};

/// States that must not be reachable from the state `m_from`.
struct InvariantDefinition {
  std::string m_from;
  std::vector<std::string> m_never;
  int m_line = 0;
};

/// A state chart as written in the file; parents precede children.
struct ChartDefinition {
  std::string m_file;
  std::string m_name;
  std::string m_initial;
  std::vector<std::string> m_events;
  std::vector<StateDefinition> m_states;
  std::vector<InvariantDefinition> m_invariants;
};

}  // namespace daisyarch
