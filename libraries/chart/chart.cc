#include "chart/chart.h"

#include <algorithm>

#include "chart/chart_structure.h"

namespace daisyarch {

namespace {

class Compiler {
 public:
  Compiler(const ChartDefinition& definition, const ChartVocabulary& vocabulary)
      : m_definition(definition), m_vocabulary(vocabulary) {}

  Result<CompiledChart> Run() {
    TRY(CheckStructure(m_definition));
    TRY(CheckVocabulary());
    m_chart.m_name = m_definition.m_name;
    m_chart.m_event_count = m_vocabulary.m_events.size();
    TRY(CompileInitial());
    for (const std::string& state : m_vocabulary.m_states) {
      for (const std::string& event : m_vocabulary.m_events) {
        TRY(CompileCell(*FindState(m_definition, state), event));
      }
    }
    return std::move(m_chart);
  }

 private:
  Error Fail(int line, const std::string& detail) const {
    return Error{ErrorCode::kInvalidArgument, "compile chart",
                 m_definition.m_file + ":" + std::to_string(line), detail};
  }

  // The program's enums and the file must name the same states and events.
  // A difference means that one of them is out of date.
  Result<void> CheckVocabulary() const {
    for (std::size_t index = 0; index < m_definition.m_states.size(); ++index) {
      const StateDefinition& state = m_definition.m_states[index];
      if (!IsLeaf(m_definition, index)) continue;
      if (!IndexOf(m_vocabulary.m_states, state.m_name)) {
        return Fail(state.m_line, "state \"" + state.m_name +
                                      "\" is not defined by the program");
      }
    }
    for (const std::string& name : m_vocabulary.m_states) {
      const auto index = FindState(m_definition, name);
      if (!index || !IsLeaf(m_definition, *index)) {
        return Fail(1, "state \"" + name + "\" is missing from the chart");
      }
    }
    for (const std::string& event : m_definition.m_events) {
      if (!IndexOf(m_vocabulary.m_events, event)) {
        return Fail(1, "event \"" + event + "\" is not defined by the program");
      }
    }
    for (const std::string& event : m_vocabulary.m_events) {
      if (!IndexOf(m_definition.m_events, event)) {
        return Fail(1, "event \"" + event + "\" is missing from the chart");
      }
    }
    return Success();
  }

  static std::optional<std::uint16_t> IndexOf(
      const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) return std::nullopt;
    return static_cast<std::uint16_t>(found - names.begin());
  }

  Result<void> AppendActions(const std::vector<std::string>& names, int line,
                             std::vector<std::uint16_t>& actions) const {
    for (const std::string& name : names) {
      const auto index = IndexOf(m_vocabulary.m_actions, name);
      if (!index) return Fail(line, "unknown action \"" + name + "\"");
      actions.push_back(*index);
    }
    return Success();
  }

  Result<void> CompileInitial() {
    const std::size_t leaf = InitialLeaf(
        m_definition, *FindState(m_definition, m_definition.m_initial));
    m_chart.m_initial =
        *IndexOf(m_vocabulary.m_states, m_definition.m_states[leaf].m_name);
    auto path = Ancestry(m_definition, leaf);
    std::reverse(path.begin(), path.end());
    return AppendEntryActions(path, m_chart.m_initial_actions);
  }

  Result<void> AppendEntryActions(const std::vector<std::size_t>& path,
                                  std::vector<std::uint16_t>& actions) const {
    for (const std::size_t index : path) {
      const StateDefinition& state = m_definition.m_states[index];
      TRY(AppendActions(state.m_entry_actions, state.m_line, actions));
    }
    return Success();
  }

  Result<void> CompileCell(std::size_t leaf, const std::string& event) {
    CompiledCell cell;
    cell.m_first = static_cast<std::uint32_t>(m_chart.m_transitions.size());
    const auto handling = FindHandlingState(m_definition, leaf, event);
    if (handling) {
      for (const auto& definition :
           m_definition.m_states[*handling].m_transitions) {
        if (definition.m_event == event)
          TRY(CompileTransition(leaf, definition));
      }
    }
    cell.m_count =
        static_cast<std::uint32_t>(m_chart.m_transitions.size()) - cell.m_first;
    m_chart.m_cells.push_back(cell);
    return Success();
  }

  Result<void> CompileTransition(std::size_t leaf,
                                 const TransitionDefinition& definition) {
    CompiledTransition transition;
    if (!definition.m_condition.empty()) {
      const auto guard = IndexOf(m_vocabulary.m_guards, definition.m_condition);
      if (!guard) {
        return Fail(definition.m_line,
                    "unknown guard \"" + definition.m_condition + "\"");
      }
      transition.m_guard = *guard;
    }
    std::size_t target = leaf;
    std::vector<std::uint16_t> actions;
    if (definition.m_target.empty()) {
      TRY(AppendActions(definition.m_actions, definition.m_line, actions));
    } else {
      target = InitialLeaf(m_definition,
                           *FindState(m_definition, definition.m_target));
      TRY(AppendTransitionActions(leaf, target, definition, actions));
    }
    transition.m_target =
        *IndexOf(m_vocabulary.m_states, m_definition.m_states[target].m_name);
    transition.m_first_action =
        static_cast<std::uint32_t>(m_chart.m_actions.size());
    transition.m_action_count = static_cast<std::uint32_t>(actions.size());
    m_chart.m_actions.insert(m_chart.m_actions.end(), actions.begin(),
                             actions.end());
    m_chart.m_transitions.push_back(transition);
    return Success();
  }

  // Appends the exit actions of the states inside the innermost state that
  // encloses both leaves, then the transition's actions, then the entry actions
  // of the states down to the target. A transition from a leaf to itself exits
  // and re-enters the leaf.
  Result<void> AppendTransitionActions(
      std::size_t leaf, std::size_t target,
      const TransitionDefinition& definition,
      std::vector<std::uint16_t>& actions) const {
    auto exits = Ancestry(m_definition, leaf);
    auto entries = Ancestry(m_definition, target);
    while (exits.size() > 1 && entries.size() > 1 &&
           exits.back() == entries.back()) {
      exits.pop_back();
      entries.pop_back();
    }
    if (leaf != target && exits.back() == entries.back()) {
      exits.pop_back();
      entries.pop_back();
    }
    for (const std::size_t index : exits) {
      const StateDefinition& state = m_definition.m_states[index];
      TRY(AppendActions(state.m_exit_actions, state.m_line, actions));
    }
    TRY(AppendActions(definition.m_actions, definition.m_line, actions));
    std::reverse(entries.begin(), entries.end());
    return AppendEntryActions(entries, actions);
  }

  const ChartDefinition& m_definition;
  const ChartVocabulary& m_vocabulary;
  CompiledChart m_chart;
};

}  // namespace

Result<CompiledChart> CompileChart(const ChartDefinition& definition,
                                   const ChartVocabulary& vocabulary) {
  return Compiler(definition, vocabulary).Run();
}

}  // namespace daisyarch
