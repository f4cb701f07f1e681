#include "chart/chart_diagram.h"

#include <sstream>

#include "chart/chart_structure.h"

namespace daisyarch {

namespace {

void DrawState(const ChartDefinition& chart, std::size_t index,
               std::ostringstream& out) {
  const StateDefinition& state = chart.m_states[index];
  if (IsLeaf(chart, index)) {
    out << "  \"" << state.m_name
        << "\" [shape=" << (state.m_is_final ? "doublecircle" : "box")
        << "];\n";
    return;
  }
  out << "  subgraph \"cluster_" << state.m_name << "\" {\n  label=\""
      << state.m_name << "\";\n";
  for (std::size_t child = 0; child < chart.m_states.size(); ++child) {
    if (chart.m_states[child].m_parent == index) DrawState(chart, child, out);
  }
  out << "  }\n";
}

std::string Label(const TransitionDefinition& transition) {
  std::string label = transition.m_event;
  if (!transition.m_condition.empty())
    label += " [" + transition.m_condition + "]";
  std::string separator = " / ";
  for (const std::string& action : transition.m_actions) {
    label += separator + action;
    separator = ", ";
  }
  return label;
}

void DrawTransitions(const ChartDefinition& chart, std::size_t index,
                     std::ostringstream& out) {
  const StateDefinition& state = chart.m_states[index];
  // DOT has no edges between clusters, so an edge connects initial leaves.
  const std::string& source = chart.m_states[InitialLeaf(chart, index)].m_name;
  for (const TransitionDefinition& transition : state.m_transitions) {
    std::string target = source;
    if (!transition.m_target.empty()) {
      const std::size_t found = *FindState(chart, transition.m_target);
      target = chart.m_states[InitialLeaf(chart, found)].m_name;
    }
    out << "  \"" << source << "\" -> \"" << target << "\" [label=\""
        << Label(transition) << "\"];\n";
  }
}

}  // namespace

std::string DrawChart(const ChartDefinition& chart) {
  std::ostringstream out;
  out << "digraph \"" << chart.m_name << "\" {\n";
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    if (chart.m_states[index].m_parent == StateDefinition::kNoParent) {
      DrawState(chart, index, out);
    }
  }
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    DrawTransitions(chart, index, out);
  }
  out << "}\n";
  return out.str();
}

}  // namespace daisyarch
