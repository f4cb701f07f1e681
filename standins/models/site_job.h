#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "models/step_script.h"

namespace daisyarch {

/// A step as callers submit it.
struct SiteStep {
  std::uint32_t m_task_count = 1;
  StepScript m_script;
  bool m_is_after_previous = false;
  bool m_is_lasting = false;
};

/// A job as callers submit it.
struct SiteJob {
  std::string m_id;         ///< 16 hexadecimal digits.
  bool m_is_frail = false;  ///< Of the queue with fewer allowed attempts.
  std::vector<SiteStep> m_steps;
};

/// Attempts that the queues allow for a task.
constexpr std::uint32_t kUsualAttempts = 4;
constexpr std::uint32_t kFrailAttempts = 2;

std::uint32_t AttemptsOf(const SiteJob& job);
std::string PayloadOf(const SiteJob& job);
/// The name under which workers know a task.
std::string TaskNameOf(const SiteJob& job, std::uint32_t step,
                       std::uint32_t index);

/// The request for a job and its headers' host.
extern const char* const kSiteHost;
std::string WriteJobPath(const SiteJob& job);
std::string WriteJobBody(const SiteJob& job);

/// Returns the state in the answer to a request for a job's state.
std::string ReadJobState(const std::string& body);

/// The key and the value of the configuration of both queues.
extern const char* const kSiteConfigurationKey;
std::string WriteSiteConfiguration();

}  // namespace daisyarch
