#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "chart/chart_definition.h"

namespace daisyarch {

/// The names that the program defines for a chart, in the order of the
/// program's enums and bindings.
struct ChartVocabulary {
  std::vector<std::string> m_states;  ///< Leaf states only.
  std::vector<std::string> m_events;
  std::vector<std::string> m_guards;
  std::vector<std::string> m_actions;
};

/// A compiled transition, with guard, target and actions as indexes.
struct CompiledTransition {
  static constexpr std::uint16_t kUnguarded = 0xffff;

  std::uint16_t m_guard = kUnguarded;
  std::uint16_t m_target = 0;
  std::uint32_t m_first_action = 0;  ///< Index into CompiledChart::m_actions.
  std::uint32_t m_action_count = 0;  ///< Exit, transition and entry actions.
};

/// The transitions of one state for one event, as a range of
/// CompiledChart::m_transitions in the order of evaluation.
struct CompiledCell {
  std::uint32_t m_first = 0;
  std::uint32_t m_count = 0;
};

/// A chart as dense tables: a step is one lookup by [state][event].
struct CompiledChart {
  std::string m_name;
  std::size_t m_event_count = 0;
  std::uint16_t m_initial = 0;
  std::vector<std::uint16_t> m_initial_actions;
  std::vector<CompiledCell> m_cells;  ///< By state, then event.
  std::vector<CompiledTransition> m_transitions;
  std::vector<std::uint16_t> m_actions;
};

/// Checks a chart against the vocabulary and compiles it. Fails with
/// kInvalidArgument, file and line for an unknown state, event, guard or
/// action; an unreachable state; an event that a state neither handles nor
/// ignores; a transition that follows an unguarded one for the same event; a
/// violated invariant.
Result<CompiledChart> CompileChart(const ChartDefinition& definition,
                                   const ChartVocabulary& vocabulary);

}  // namespace daisyarch
