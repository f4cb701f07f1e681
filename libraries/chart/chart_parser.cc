#include "chart/chart_parser.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace daisyarch {

namespace {

constexpr std::size_t kMaximumNesting = 8;

int LineOf(const YAML::Node& node) { return node.Mark().line + 1; }

class Parser {
 public:
  explicit Parser(const std::string& file) { m_chart.m_file = file; }

  Result<ChartDefinition> Run(const YAML::Node& root) {
    TRY(CheckKeys(root,
                  {"chart", "initial", "events", "states", "invariants"}));
    TRY_ASSIGN(m_chart.m_name, ReadText(root, "chart"));
    TRY_ASSIGN(m_chart.m_initial, ReadText(root, "initial"));
    TRY_ASSIGN(m_chart.m_events, ReadNames(root, "events"));
    TRY(ReadStates(root["states"], StateDefinition::kNoParent, 0));
    if (m_chart.m_states.empty())
      return Fail(LineOf(root), "the chart has no states");
    TRY(ReadInvariants(root["invariants"]));
    return std::move(m_chart);
  }

 private:
  Error Fail(int line, const std::string& detail) const {
    return Error{ErrorCode::kInvalidArgument, "parse chart",
                 m_chart.m_file + ":" + std::to_string(line), detail};
  }

  // An empty `allowed_keys` allows every key.
  Result<void> CheckKeys(const YAML::Node& node,
                         const std::set<std::string>& allowed_keys) const {
    if (!node.IsMap()) return Fail(LineOf(node), "expected a map");
    std::set<std::string> seen;
    for (const auto& entry : node) {
      if (!entry.first.IsScalar()) {
        return Fail(LineOf(entry.first), "expected a scalar key");
      }
      const std::string key = entry.first.Scalar();
      if (!allowed_keys.empty() && allowed_keys.count(key) == 0) {
        return Fail(LineOf(entry.first), "unknown key \"" + key + "\"");
      }
      if (!seen.insert(key).second) {
        return Fail(LineOf(entry.first), "duplicate key \"" + key + "\"");
      }
    }
    return Success();
  }

  Result<std::string> ReadText(const YAML::Node& node,
                               const std::string& key) const {
    const YAML::Node child = node[key];
    if (!child || !child.IsScalar() || child.Scalar().empty()) {
      return Fail(LineOf(node), "expected a name under \"" + key + "\"");
    }
    return child.Scalar();
  }

  Result<std::string> ReadOptionalText(const YAML::Node& node,
                                       const std::string& key) const {
    if (!node[key]) return std::string();
    return ReadText(node, key);
  }

  Result<std::vector<std::string>> ReadNames(const YAML::Node& node,
                                             const std::string& key) const {
    std::vector<std::string> names;
    const YAML::Node child = node[key];
    if (!child) return names;
    if (!child.IsSequence()) {
      return Fail(LineOf(child), "expected a list under \"" + key + "\"");
    }
    for (const YAML::Node& item : child) {
      if (!item.IsScalar()) return Fail(LineOf(item), "expected a name");
      names.push_back(item.Scalar());
    }
    return names;
  }

  Result<void> ReadStates(const YAML::Node& node, std::size_t parent,
                          std::size_t depth) {
    if (!node) return Success();
    if (depth > kMaximumNesting)
      return Fail(LineOf(node), "states are nested too deeply");
    TRY(CheckKeys(node, {}));
    for (const auto& entry : node) {
      TRY(ReadState(entry.first, entry.second, parent, depth));
    }
    return Success();
  }

  Result<void> ReadState(const YAML::Node& key, const YAML::Node& node,
                         std::size_t parent, std::size_t depth) {
    StateDefinition state;
    state.m_name = key.Scalar();
    state.m_line = LineOf(key);
    state.m_parent = parent;
    TRY(CheckUniqueState(state));
    TRY(CheckKeys(node, {"initial", "final", "onentry", "onexit", "on",
                         "ignore", "states"}));
    TRY_ASSIGN(state.m_initial, ReadOptionalText(node, "initial"));
    TRY_ASSIGN(state.m_is_final, ReadFlag(node, "final"));
    TRY_ASSIGN(state.m_entry_actions, ReadNames(node, "onentry"));
    TRY_ASSIGN(state.m_exit_actions, ReadNames(node, "onexit"));
    TRY_ASSIGN(state.m_ignored_events, ReadNames(node, "ignore"));
    TRY(ReadTransitions(node["on"], state));
    const std::size_t index = m_chart.m_states.size();
    m_chart.m_states.push_back(std::move(state));
    return ReadStates(node["states"], index, depth + 1);
  }

  Result<void> CheckUniqueState(const StateDefinition& state) const {
    for (const StateDefinition& other : m_chart.m_states) {
      if (other.m_name == state.m_name) {
        return Fail(state.m_line, "duplicate state \"" + state.m_name + "\"");
      }
    }
    return Success();
  }

  Result<bool> ReadFlag(const YAML::Node& node, const std::string& key) const {
    const YAML::Node child = node[key];
    if (!child) return false;
    bool flag = false;
    if (!child.IsScalar() || !YAML::convert<bool>::decode(child, flag)) {
      return Fail(LineOf(child), "expected true or false");
    }
    return flag;
  }

  Result<void> ReadTransitions(const YAML::Node& node, StateDefinition& state) {
    if (!node) return Success();
    TRY(CheckKeys(node, {}));
    for (const auto& entry : node) {
      const std::string event = entry.first.Scalar();
      if (!entry.second.IsSequence()) {
        TRY(ReadTransition(event, entry.second, state));
        continue;
      }
      for (const YAML::Node& item : entry.second) {
        TRY(ReadTransition(event, item, state));
      }
    }
    return Success();
  }

  Result<void> ReadTransition(const std::string& event, const YAML::Node& node,
                              StateDefinition& state) {
    TransitionDefinition transition;
    transition.m_event = event;
    transition.m_line = LineOf(node);
    TRY(CheckKeys(node, {"cond", "target", "actions"}));
    TRY_ASSIGN(transition.m_condition, ReadOptionalText(node, "cond"));
    TRY_ASSIGN(transition.m_target, ReadOptionalText(node, "target"));
    TRY_ASSIGN(transition.m_actions, ReadNames(node, "actions"));
    state.m_transitions.push_back(std::move(transition));
    return Success();
  }

  Result<void> ReadInvariants(const YAML::Node& node) {
    if (!node) return Success();
    if (!node.IsSequence()) return Fail(LineOf(node), "expected a list");
    for (const YAML::Node& item : node) {
      InvariantDefinition invariant;
      invariant.m_line = LineOf(item);
      TRY(CheckKeys(item, {"from", "never"}));
      TRY_ASSIGN(invariant.m_from, ReadText(item, "from"));
      TRY_ASSIGN(invariant.m_never, ReadNames(item, "never"));
      m_chart.m_invariants.push_back(std::move(invariant));
    }
    return Success();
  }

  ChartDefinition m_chart;
};

}  // namespace

Result<ChartDefinition> ParseChart(const std::string& text,
                                   const std::string& file) {
  // yaml-cpp throws exceptions for syntax errors; they become an Error here.
  try {
    const YAML::Node root = YAML::Load(text);
    return Parser(file).Run(root);
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::kInvalidArgument, "parse chart",
                 file + ":" + std::to_string(exception.mark.line + 1),
                 exception.msg};
  }
}

Result<ChartDefinition> ParseChartFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Error{ErrorCode::kNotFound, "open chart", path, "cannot open file"};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseChart(text.str(), path);
}

}  // namespace daisyarch
