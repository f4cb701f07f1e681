#include "chart/naive_interpreter.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace daisyarch {

namespace {

using Path = std::vector<std::pair<std::string, YAML::Node>>;

bool FindPath(const YAML::Node& states, const std::string& name, Path& path) {
  if (!states) return false;
  for (const auto& entry : states) {
    path.emplace_back(entry.first.as<std::string>(), entry.second);
    if (path.back().first == name) return true;
    if (FindPath(entry.second["states"], name, path)) return true;
    path.pop_back();
  }
  return false;
}

void AppendNames(const YAML::Node& names, std::vector<std::string>& actions) {
  if (!names) return;
  for (const auto& name : names) actions.push_back(name.as<std::string>());
}

void DescendToInitialLeaf(Path& path) {
  while (path.back().second["states"]) {
    const auto child = path.back().second["initial"].as<std::string>();
    path.emplace_back(child, path.back().second["states"][child]);
  }
}

NaiveStep TakeTransition(const YAML::Node& root, const Path& from,
                         const YAML::Node& transition) {
  NaiveStep step;
  step.m_taken = true;
  step.m_state = from.back().first;
  if (!transition["target"]) {
    AppendNames(transition["actions"], step.m_actions);
    return step;
  }
  Path to;
  FindPath(root["states"], transition["target"].as<std::string>(), to);
  DescendToInitialLeaf(to);
  std::size_t common = 0;
  while (common < from.size() && common < to.size() &&
         from[common].first == to[common].first) {
    ++common;
  }
  // A transition from a leaf to itself exits and re-enters the leaf.
  if (common == from.size() && common == to.size()) --common;
  for (std::size_t index = from.size(); index > common; --index) {
    AppendNames(from[index - 1].second["onexit"], step.m_actions);
  }
  AppendNames(transition["actions"], step.m_actions);
  for (std::size_t index = common; index < to.size(); ++index) {
    AppendNames(to[index].second["onentry"], step.m_actions);
  }
  step.m_state = to.back().first;
  return step;
}

}  // namespace

NaiveStep NaiveChartStep(const std::string& yaml, const std::string& state,
                         const std::string& event,
                         const std::function<bool(const std::string&)>& guard) {
  const YAML::Node root = YAML::Load(yaml);
  Path path;
  FindPath(root["states"], state, path);
  for (auto scope = path.rbegin(); scope != path.rend(); ++scope) {
    const YAML::Node handled = scope->second["on"];
    const YAML::Node found = handled ? handled[event] : YAML::Node();
    if (!handled || !found.IsDefined() || found.IsNull()) {
      const YAML::Node ignored = scope->second["ignore"];
      if (ignored && std::any_of(ignored.begin(), ignored.end(),
                                 [&](const YAML::Node& name) {
                                   return name.as<std::string>() == event;
                                 })) {
        return NaiveStep{false, state, {}};
      }
      continue;
    }
    std::vector<YAML::Node> transitions;
    if (found.IsSequence()) {
      for (const auto& item : found) transitions.push_back(item);
    } else {
      transitions.push_back(found);
    }
    for (const YAML::Node& transition : transitions) {
      if (transition["cond"] && !guard(transition["cond"].as<std::string>())) {
        continue;
      }
      return TakeTransition(root, path, transition);
    }
    return NaiveStep{false, state, {}};
  }
  return NaiveStep{false, state, {}};
}

}  // namespace daisyarch
