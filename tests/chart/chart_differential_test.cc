#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "chart/chart.h"
#include "chart/chart_parser.h"
#include "chart/chart_structure.h"
#include "chart/naive_interpreter.h"

namespace daisyarch {

namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void AddOnce(std::vector<std::string>& names, const std::string& name) {
  if (name.empty()) return;
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    names.push_back(name);
  }
}

// Collects the names that the chart uses.
ChartVocabulary VocabularyOf(const ChartDefinition& chart) {
  ChartVocabulary vocabulary;
  vocabulary.m_events = chart.m_events;
  for (std::size_t index = 0; index < chart.m_states.size(); ++index) {
    const StateDefinition& state = chart.m_states[index];
    if (IsLeaf(chart, index)) vocabulary.m_states.push_back(state.m_name);
    for (const auto& name : state.m_entry_actions) {
      AddOnce(vocabulary.m_actions, name);
    }
    for (const auto& name : state.m_exit_actions) {
      AddOnce(vocabulary.m_actions, name);
    }
    for (const auto& transition : state.m_transitions) {
      AddOnce(vocabulary.m_guards, transition.m_condition);
      for (const auto& name : transition.m_actions) {
        AddOnce(vocabulary.m_actions, name);
      }
    }
  }
  return vocabulary;
}

// Takes one step of the compiled chart; every guard returns `guard`.
NaiveStep CompiledStep(const CompiledChart& chart,
                       const ChartVocabulary& vocabulary, std::size_t state,
                       std::size_t event, bool guard) {
  const CompiledCell cell = chart.m_cells[state * chart.m_event_count + event];
  for (std::uint32_t offset = 0; offset < cell.m_count; ++offset) {
    const auto& transition = chart.m_transitions[cell.m_first + offset];
    if (transition.m_guard != CompiledTransition::kUnguarded && !guard) {
      continue;
    }
    NaiveStep step;
    step.m_taken = true;
    step.m_state = vocabulary.m_states[transition.m_target];
    for (std::uint32_t index = 0; index < transition.m_action_count; ++index) {
      step.m_actions.push_back(
          vocabulary
              .m_actions[chart.m_actions[transition.m_first_action + index]]);
    }
    return step;
  }
  return NaiveStep{false, vocabulary.m_states[state], {}};
}

}  // namespace

// Guards against compiler bugs that change a target or the order of actions.
// Covers every chart, state and event, with all guards false and all true.
TEST_CASE("Compiled charts take the same steps as the naive interpreter") {
  std::size_t charts = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(DAISYARCH_CHARTS)) {
    const std::string text = ReadFile(entry.path());
    INFO(entry.path().filename().string());
    const auto definition = ParseChart(text, entry.path().filename().string());
    REQUIRE(definition);
    const ChartVocabulary vocabulary = VocabularyOf(definition.assume_value());
    const auto chart = CompileChart(definition.assume_value(), vocabulary);
    if (!chart) FAIL(ToString(chart.assume_error()));
    ++charts;
    for (std::size_t state = 0; state < vocabulary.m_states.size(); ++state) {
      for (std::size_t event = 0; event < vocabulary.m_events.size(); ++event) {
        for (const bool guard : {false, true}) {
          const NaiveStep expected = NaiveChartStep(
              text, vocabulary.m_states[state], vocabulary.m_events[event],
              [guard](const std::string&) { return guard; });
          const NaiveStep actual = CompiledStep(
              chart.assume_value(), vocabulary, state, event, guard);
          CHECK(actual.m_taken == expected.m_taken);
          CHECK(actual.m_state == expected.m_state);
          CHECK(actual.m_actions == expected.m_actions);
        }
      }
    }
  }
  CHECK(charts >= 1);
}

}  // namespace daisyarch
