#include "chart/chart.h"

#include <catch2/catch.hpp>

#include "chart/chart_diagram.h"
#include "chart/chart_parser.h"

namespace daisyarch {

namespace {

const char* const kDoor = R"(chart: door
initial: closed
events: [open, close, lock]
states:
  closed:
    on:
      open: {target: opened, cond: may_open}
      lock: {target: locked}
    ignore: [close]
  opened:
    on:
      close: {target: closed, actions: [ring]}
    ignore: [open, lock]
  locked:
    final: true
    ignore: [open, close, lock]
invariants:
  - {from: locked, never: [opened]}
)";

ChartVocabulary DoorVocabulary() {
  return {{"closed", "opened", "locked"},
          {"open", "close", "lock"},
          {"may_open"},
          {"ring"}};
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Returns the error's peer (file and line) and detail, or "" if the chart
// compiles.
std::string CompileError(const std::string& text) {
  const auto definition = ParseChart(text, "door.yaml");
  if (!definition) {
    return definition.assume_error().m_peer + " " +
           definition.assume_error().m_detail;
  }
  const auto chart = CompileChart(definition.assume_value(), DoorVocabulary());
  if (chart) return "";
  return chart.assume_error().m_peer + " " + chart.assume_error().m_detail;
}

}  // namespace

TEST_CASE("A valid chart compiles") { CHECK(CompileError(kDoor).empty()); }

TEST_CASE("Each kind of chart error is reported with file and line") {
  CHECK(CompileError(Replace(kDoor, "[ring]", "[sing]")) ==
        "door.yaml:12 unknown action \"sing\"");
  CHECK(CompileError(Replace(kDoor, "may_open", "may_shut")) ==
        "door.yaml:7 unknown guard \"may_shut\"");
  CHECK(CompileError(Replace(kDoor, "target: opened", "target: ajar")) ==
        "door.yaml:7 unknown state \"ajar\"");
  CHECK(CompileError(Replace(kDoor, "      close:", "      slam:")) ==
        "door.yaml:12 unknown event \"slam\"");
  CHECK(CompileError(Replace(kDoor, "ignore: [close]", "ignore: []")) ==
        "door.yaml:5 state \"closed\" neither handles nor ignores event "
        "\"close\"");
  CHECK(CompileError(Replace(kDoor, "target: locked", "target: closed")) ==
        "door.yaml:14 state \"locked\" is unreachable");
  CHECK(CompileError(Replace(kDoor, "{target: locked}",
                             "[{target: locked}, {target: opened}]")) ==
        "door.yaml:8 a transition for \"lock\" follows one without a "
        "condition");
  CHECK(CompileError(Replace(kDoor, "never: [opened]", "never: [locked]")) ==
        "door.yaml:18 \"locked\" can be reached from \"locked\"");
  CHECK(CompileError(Replace(kDoor, "  opened:", "  closed:")) ==
        "door.yaml:10 duplicate key \"closed\"");
  CHECK(CompileError("chart: [").find("door.yaml:") == 0);
}

TEST_CASE("A diagram contains the states and transitions of the chart") {
  const auto definition = ParseChart(kDoor, "door.yaml");
  REQUIRE(definition);
  const std::string drawing = DrawChart(definition.assume_value());
  CHECK(drawing.find("\"closed\" -> \"opened\" [label=\"open [may_open]\"]") !=
        std::string::npos);
  CHECK(drawing.find("\"locked\" [shape=doublecircle]") != std::string::npos);
}

}  // namespace daisyarch
