#include "models/site_job.h"

#include "wire/json.h"

namespace daisyarch {

const char* const kSiteHost = "queue.example";
const char* const kSiteConfigurationKey = "op/config";

std::uint32_t AttemptsOf(const SiteJob& job) {
  return job.m_is_frail ? kFrailAttempts : kUsualAttempts;
}

std::string PayloadOf(const SiteJob& job) {
  std::vector<StepScript> scripts;
  for (const SiteStep& step : job.m_steps) scripts.push_back(step.m_script);
  return WriteScripts(job.m_id, scripts);
}

std::string TaskNameOf(const SiteJob& job, std::uint32_t step,
                       std::uint32_t index) {
  return job.m_id + ".0." + std::to_string(step) + "." + std::to_string(index);
}

std::string WriteJobPath(const SiteJob& job) {
  return (job.m_is_frail ? "/frail/" : "/jobs/") + job.m_id;
}

std::string WriteJobBody(const SiteJob& job) {
  Json steps = Json::array();
  for (const SiteStep& step : job.m_steps) {
    Json row = {{"count", step.m_task_count},
                {"cpu", 500},
                {"mem_mb", 256},
                {"est_ms", ToMilliseconds(step.m_script.m_work)}};
    if (step.m_is_after_previous) row["after"] = {steps.size() - 1};
    if (step.m_script.m_gang_size > 0) row["gang"] = true;
    if (step.m_is_lasting) row["long_running"] = true;
    steps.push_back(std::move(row));
  }
  return Json{{"spec", PayloadOf(job)}, {"steps", steps}}.dump();
}

std::string ReadJobState(const std::string& body) {
  const Json answer = Json::parse(body, nullptr, false);
  return answer.is_object() ? answer.value("state", std::string()) : "";
}

std::string WriteSiteConfiguration() {
  Json routes = Json::array();
  for (const bool is_frail : {false, true}) {
    routes.push_back(
        {{"name", is_frail ? "frail" : "work"},
         {"host", kSiteHost},
         {"prefix", is_frail ? "/frail/" : "/jobs/"},
         {"service", "pool"},
         {"priority", 1},
         {"max_attempts", is_frail ? kFrailAttempts : kUsualAttempts},
         {"stretch", 2.0},
         {"target_duration_ms", 1000}});
  }
  return Json{{"version", 7},
              {"routes", routes},
              {"services", {{{"name", "pool"}, {"enforces_capacity", false}}}},
              {"limits", {{"max_body_bytes", 262144}}}}
      .dump();
}

}  // namespace daisyarch
