#pragma once

#include <functional>
#include <string>
#include <vector>

namespace daisyarch {

/// The result of one step of the naive interpreter.
struct NaiveStep {
  bool m_taken = false;
  std::string m_state;
  std::vector<std::string> m_actions;
};

/// Takes one step. Parses the YAML text on each call, which is slow, but simple
/// enough to serve as a reference for the compiled charts.
NaiveStep NaiveChartStep(const std::string& yaml, const std::string& state,
                         const std::string& event,
                         const std::function<bool(const std::string&)>& guard);

}  // namespace daisyarch
