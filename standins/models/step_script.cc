#include "models/step_script.h"

#include <sstream>

namespace daisyarch {

std::string WriteScripts(const std::string& name,
                         const std::vector<StepScript>& scripts) {
  std::ostringstream payload;
  payload << name;
  for (const StepScript& script : scripts) {
    payload << ";" << ToMilliseconds(script.m_work) << ","
            << script.m_fail_percent << "," << script.m_gang_size;
  }
  return payload.str();
}

StepScript ReadScript(const std::string& payload, std::uint32_t step) {
  std::istringstream parts(payload);
  std::string part;
  // The first part is the name.
  for (std::uint32_t number = 0; number <= step + 1; ++number) {
    if (!std::getline(parts, part, ';')) return {std::chrono::seconds(1)};
  }
  std::istringstream fields(part);
  std::int64_t work_ms = 0;
  char comma = 0;
  StepScript script;
  fields >> work_ms >> comma >> script.m_fail_percent >> comma >>
      script.m_gang_size;
  script.m_work = FromMilliseconds(work_ms);
  return script;
}

}  // namespace daisyarch
