#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "chart/chart.h"
#include "chart/chart_parser.h"

namespace daisyarch {

/// A guard's name in the chart file and the function that implements it.
template <typename Context>
struct GuardBinding {
  const char* m_name;
  bool (*m_function)(const Context&);
};

/// An action's name in the chart file and the function that implements it.
template <typename Context>
struct ActionBinding {
  const char* m_name;
  void (*m_function)(Context&);
};

/// The names and functions that the program defines for one chart.
template <typename Context>
struct ChartBinding {
  std::vector<std::string> m_states;  ///< In the order of the state enum.
  std::vector<std::string> m_events;  ///< In the order of the event enum.
  std::vector<GuardBinding<Context>> m_guards;
  std::vector<ActionBinding<Context>> m_actions;
};

/// Whether a step took a transition; kIgnored if none is allowed.
enum class StepResult { kTaken, kIgnored };

/// Interprets a compiled chart. `State` and `Event` are enums in the order of
/// the binding; `Context` is the plain struct that guards and actions use.
template <typename State, typename Event, typename Context>
class StateMachine {
 public:
  /// Fails with kInvalidArgument, file and line if chart and binding disagree.
  static Result<StateMachine> Create(const ChartDefinition& definition,
                                     const ChartBinding<Context>& binding) {
    ChartVocabulary vocabulary;
    vocabulary.m_states = binding.m_states;
    vocabulary.m_events = binding.m_events;
    StateMachine machine;
    for (const auto& guard : binding.m_guards) {
      vocabulary.m_guards.emplace_back(guard.m_name);
      machine.m_guards.push_back(guard.m_function);
    }
    for (const auto& action : binding.m_actions) {
      vocabulary.m_actions.emplace_back(action.m_name);
      machine.m_actions.push_back(action.m_function);
    }
    TRY_ASSIGN(machine.m_chart, CompileChart(definition, vocabulary));
    return machine;
  }

  /// Loads the chart `directory`/`name`.yaml.
  static Result<StateMachine> Load(const std::string& directory,
                                   const std::string& name,
                                   const ChartBinding<Context>& binding) {
    TRY_ASSIGN(const ChartDefinition definition,
               ParseChartFile(directory + "/" + name + ".yaml"));
    return Create(definition, binding);
  }

  State InitialState() const { return static_cast<State>(m_chart.m_initial); }

  /// Sets the initial state and runs its entry actions.
  void Enter(State& state, Context& context) const {
    state = InitialState();
    for (const std::uint16_t action : m_chart.m_initial_actions) {
      m_actions[action](context);
    }
  }

  /// Takes the first transition for `event` whose guard allows it.
  StepResult Step(State& state, Event event, Context& context) const {
    const std::size_t cell_index =
        static_cast<std::size_t>(state) * m_chart.m_event_count +
        static_cast<std::size_t>(event);
    const CompiledCell cell = m_chart.m_cells[cell_index];
    for (std::uint32_t offset = 0; offset < cell.m_count; ++offset) {
      const CompiledTransition& transition =
          m_chart.m_transitions[cell.m_first + offset];
      if (transition.m_guard != CompiledTransition::kUnguarded &&
          !m_guards[transition.m_guard](context)) {
        continue;
      }
      // The state changes first, so that the actions see the new state.
      state = static_cast<State>(transition.m_target);
      for (std::uint32_t index = 0; index < transition.m_action_count;
           ++index) {
        m_actions[m_chart.m_actions[transition.m_first_action + index]](
            context);
      }
      return StepResult::kTaken;
    }
    return StepResult::kIgnored;
  }

 private:
  StateMachine() = default;

  CompiledChart m_chart;
  std::vector<bool (*)(const Context&)> m_guards;
  std::vector<void (*)(Context&)> m_actions;
};

}  // namespace daisyarch
