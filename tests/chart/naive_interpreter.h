#pragma once

#include <functional>
#include <string>
#include <vector>

namespace daisyarch {

/// The outcome of one step of the naive interpreter.
struct NaiveStep {
  bool m_taken = false;
  std::string m_state;
  std::vector<std::string> m_actions;
};

/// Walks the YAML text afresh on each step; slow, and simple to believe.
NaiveStep NaiveChartStep(const std::string& yaml, const std::string& state,
                         const std::string& event,
                         const std::function<bool(const std::string&)>& guard);

}  // namespace daisyarch
