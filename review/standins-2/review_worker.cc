#include "review_worker.h"

#include <map>
#include <vector>

namespace daisyarch::review {

namespace {

struct PowerState {
  std::string m_kind = "plain";
  bool m_has_no_power = false;
  std::vector<HttpResponder> m_unanswered;
};

PowerState& StateOf(const std::string& worker) {
  static std::map<std::string, PowerState> states;
  return states[worker];
}

}  // namespace

std::string& KindOf(const std::string& worker) {
  return StateOf(worker).m_kind;
}

void LosePower(const std::string& worker) {
  StateOf(worker).m_has_no_power = true;
}

// The connections of before are reset.
void RegainPower(const std::string& worker) {
  StateOf(worker).m_has_no_power = false;
  StateOf(worker).m_unanswered.clear();
}

bool HasNoPower(const std::string& worker) {
  return StateOf(worker).m_has_no_power;
}

void KeepUnanswered(const std::string& worker, const HttpRequest&,
                    const HttpResponder& respond) {
  StateOf(worker).m_unanswered.push_back(respond);
}

}  // namespace daisyarch::review
