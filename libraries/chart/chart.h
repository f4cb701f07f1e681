#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "chart/chart_definition.h"

namespace daisyarch {

/// The names that the program gives to a chart, in the order of its enums.
struct ChartVocabulary {
  std::vector<std::string> m_states;  ///< Every state without children.
  std::vector<std::string> m_events;
  std::vector<std::string> m_guards;
  std::vector<std::string> m_actions;
};

/// One row of the compiled chart: what a guard allows.
struct CompiledTransition {
  static constexpr std::uint16_t kUnguarded = 0xffff;

  std::uint16_t m_guard = kUnguarded;
  std::uint16_t m_target = 0;
  std::uint32_t m_first_action = 0;  ///< Into CompiledChart::m_actions.
  std::uint32_t m_action_count = 0;  ///< Exit, transition, then entry.
};

/// What one state does on one event, as a range of transitions.
struct CompiledCell {
  std::uint32_t m_first = 0;
  std::uint32_t m_count = 0;
};

/// A chart as dense tables: a step is one look-up by [state][event].
struct CompiledChart {
  std::string m_name;
  std::size_t m_event_count = 0;
  std::uint16_t m_initial = 0;
  std::vector<std::uint16_t> m_initial_actions;
  std::vector<CompiledCell> m_cells;
  std::vector<CompiledTransition> m_transitions;
  std::vector<std::uint16_t> m_actions;
};

/// Checks a chart against the vocabulary and compiles it.
/// kInvalidArgument with file and line: an unknown state, event, guard or
/// action; an unreachable state; an event that a state neither handles nor
/// ignores; two unguarded transitions for one event; a broken invariant.
Result<CompiledChart> CompileChart(const ChartDefinition& definition,
                                   const ChartVocabulary& vocabulary);

}  // namespace daisyarch
