#include "chart/chart_structure.h"

#include <algorithm>

namespace daisyarch {

namespace {

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

Error Fail(const ChartDefinition& chart, int line, const std::string& detail) {
  return Error{ErrorCode::kInvalidArgument, "check chart",
               chart.m_file + ":" + std::to_string(line), detail};
}

bool Handles(const StateDefinition& state, const std::string& event) {
  return std::any_of(state.m_transitions.begin(), state.m_transitions.end(),
                     [&](const TransitionDefinition& transition) {
                       return transition.m_event == event;
                     });
}

Result<void> CheckInitial(const ChartDefinition& chart, std::size_t index) {
  const StateDefinition& state = chart.m_states[index];
  if (IsLeaf(chart, index)) {
    if (state.m_initial.empty()) return Success();
    return Fail(chart, state.m_line,
                "\"initial\" is set on a state without nested states");
  }
  const auto child = FindState(chart, state.m_initial);
  if (!child || chart.m_states[*child].m_parent != index) {
    return Fail(
        chart, state.m_line,
        "initial state of \"" + state.m_name + "\" is not nested in it");
  }
  return Success();
}

// An unguarded transition is always taken, so a transition for the same event
// that follows it is never reached.
Result<void> CheckGuards(const ChartDefinition& chart,
                         const StateDefinition& state,
                         const std::string& event) {
  bool has_unguarded = false;
  for (const TransitionDefinition& transition : state.m_transitions) {
    if (transition.m_event != event) continue;
    if (has_unguarded) {
      return Fail(
          chart, transition.m_line,
          "a transition for \"" + event + "\" follows one without a condition");
    }
    has_unguarded = transition.m_condition.empty();
  }
  return Success();
}

Result<void> CheckNames(const ChartDefinition& chart,
                        const StateDefinition& state) {
  for (const TransitionDefinition& transition : state.m_transitions) {
    if (!Contains(chart.m_events, transition.m_event)) {
      return Fail(chart, transition.m_line,
                  "unknown event \"" + transition.m_event + "\"");
    }
    if (!transition.m_target.empty() &&
        !FindState(chart, transition.m_target)) {
      return Fail(chart, transition.m_line,
                  "unknown state \"" + transition.m_target + "\"");
    }
    TRY(CheckGuards(chart, state, transition.m_event));
  }
  for (const std::string& event : state.m_ignored_events) {
    if (!Contains(chart.m_events, event)) {
      return Fail(chart, state.m_line, "unknown event \"" + event + "\"");
    }
    if (Handles(state, event)) {
      return Fail(chart, state.m_line,
                  "event \"" + event + "\" is both handled and ignored");
    }
  }
  return Success();
}

Result<void> CheckCoverage(const ChartDefinition& chart, std::size_t leaf) {
  const auto ancestry = Ancestry(chart, leaf);
  for (const std::string& event : chart.m_events) {
    const bool is_covered =
        std::any_of(ancestry.begin(), ancestry.end(), [&](std::size_t index) {
          const StateDefinition& state = chart.m_states[index];
          return Handles(state, event) ||
                 Contains(state.m_ignored_events, event);
        });
    if (!is_covered) {
      const StateDefinition& state = chart.m_states[leaf];
      return Fail(chart, state.m_line,
                  "state \"" + state.m_name + "\" neither handles nor " +
                      "ignores event \"" + event + "\"");
    }
  }
  return Success();
}

Result<void> CheckReachable(const ChartDefinition& chart) {
  const auto initial = FindState(chart, chart.m_initial);
  if (!initial) {
    return Fail(chart, 1, "unknown initial state \"" + chart.m_initial + "\"");
  }
  const auto reachable = ReachableLeaves(chart, InitialLeaf(chart, *initial));
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    if (!IsLeaf(chart, index) || reachable[index]) continue;
    const StateDefinition& state = chart.m_states[index];
    return Fail(chart, state.m_line,
                "state \"" + state.m_name + "\" is unreachable");
  }
  return Success();
}

Result<void> CheckInvariant(const ChartDefinition& chart,
                            const InvariantDefinition& invariant) {
  const auto from = FindState(chart, invariant.m_from);
  if (!from) {
    return Fail(chart, invariant.m_line,
                "unknown state \"" + invariant.m_from + "\"");
  }
  const auto reachable = ReachableLeaves(chart, InitialLeaf(chart, *from));
  for (const std::string& name : invariant.m_never) {
    const auto never = FindState(chart, name);
    if (!never) {
      return Fail(chart, invariant.m_line, "unknown state \"" + name + "\"");
    }
    if (reachable[InitialLeaf(chart, *never)]) {
      return Fail(
          chart, invariant.m_line,
          "\"" + name + "\" can be reached from \"" + invariant.m_from + "\"");
    }
  }
  return Success();
}

}  // namespace

std::optional<std::size_t> FindState(const ChartDefinition& chart,
                                     const std::string& name) {
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    if (chart.m_states[index].m_name == name) return index;
  }
  return std::nullopt;
}

bool IsLeaf(const ChartDefinition& chart, std::size_t state) {
  return std::none_of(chart.m_states.begin(), chart.m_states.end(),
                      [state](const StateDefinition& other) {
                        return other.m_parent == state;
                      });
}

std::vector<std::size_t> Ancestry(const ChartDefinition& chart,
                                  std::size_t state) {
  std::vector<std::size_t> ancestry;
  while (state != StateDefinition::kNoParent) {
    ancestry.push_back(state);
    state = chart.m_states[state].m_parent;
  }
  return ancestry;
}

std::size_t InitialLeaf(const ChartDefinition& chart, std::size_t state) {
  while (!IsLeaf(chart, state)) {
    state = *FindState(chart, chart.m_states[state].m_initial);
  }
  return state;
}

std::optional<std::size_t> FindHandlingState(const ChartDefinition& chart,
                                             std::size_t leaf,
                                             const std::string& event) {
  for (const std::size_t index : Ancestry(chart, leaf)) {
    const StateDefinition& state = chart.m_states[index];
    if (Handles(state, event)) return index;
    if (Contains(state.m_ignored_events, event)) return std::nullopt;
  }
  return std::nullopt;
}

std::vector<bool> ReachableLeaves(const ChartDefinition& chart,
                                  std::size_t start) {
  std::vector<bool> reachable(chart.m_states.size(), false);
  std::vector<std::size_t> pending = {start};
  reachable[start] = true;
  while (!pending.empty()) {
    const std::size_t leaf = pending.back();
    pending.pop_back();
    for (const std::string& event : chart.m_events) {
      const auto handling = FindHandlingState(chart, leaf, event);
      if (!handling) continue;
      for (const auto& transition : chart.m_states[*handling].m_transitions) {
        if (transition.m_event != event) continue;
        if (transition.m_target.empty()) continue;
        const std::size_t target =
            InitialLeaf(chart, *FindState(chart, transition.m_target));
        if (reachable[target]) continue;
        reachable[target] = true;
        pending.push_back(target);
      }
    }
  }
  return reachable;
}

Result<void> CheckStructure(const ChartDefinition& chart) {
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    TRY(CheckInitial(chart, index));
    TRY(CheckNames(chart, chart.m_states[index]));
  }
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    if (IsLeaf(chart, index)) TRY(CheckCoverage(chart, index));
  }
  TRY(CheckReachable(chart));
  for (const InvariantDefinition& invariant : chart.m_invariants) {
    TRY(CheckInvariant(chart, invariant));
  }
  return Success();
}

}  // namespace daisyarch
