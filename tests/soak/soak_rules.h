#pragma once

#include <string>
#include <vector>

#include "soak_record.h"
#include "soak_traffic.h"

namespace daisyarch::soak {

/// A broken rule and the history that shows it.
struct BrokenRule {
  std::string m_rule;
  std::string m_detail;
  std::string m_task;
};

/// Checks the rules of the users' platform from what workers and callers saw.
/// A job that has not ended by now is lost.
std::vector<BrokenRule> CheckRules(const Record& record,
                                   const SoakTraffic& traffic);

/// Returns whether each task of the job, which lasts, is running at the end of
/// the record.
bool IsRunning(const Record& record, const SoakJob& job);

}  // namespace daisyarch::soak
