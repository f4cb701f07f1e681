#include "soak_traffic.h"

#include <cstdio>

#include "models/standin_main.h"

namespace daisyarch::soak {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(3);
constexpr Duration kRepeatAfter = std::chrono::milliseconds(300);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusGone = 410;
constexpr std::size_t kImpatientEvery = 3;
constexpr std::size_t kAskedAtOnce = 8;

HttpRequest RequestFor(const SoakJob& job, const char* method) {
  HttpRequest request;
  request.m_method = method;
  request.m_target = WriteJobPath(job.m_job);
  request.m_headers.emplace_back("Host", kSiteHost);
  request.m_headers.emplace_back("X-Timeout-Ms",
                                 std::to_string(ToMilliseconds(kTimeout)));
  return request;
}

HttpClient& AnyDaemon(SoakSite& site) {
  const std::uint64_t drawn =
      NextBelow(site.m_plan.m_random, site.m_daemons.size());
  return *site.m_daemons[drawn].m_callers;
}

void Later(SoakSite& site, std::function<void()> action) {
  site.m_agenda.emplace(StandinNow() + kRepeatAfter, std::move(action));
}

// No answer, or one that says as little.
bool IsUnsure(const Result<HttpResponse>& answer) {
  constexpr unsigned kStatusBadGateway = 502;
  constexpr unsigned kStatusGatewayTimeout = 504;
  if (!answer) return true;
  const unsigned status = answer.assume_value().m_status;
  return status == kStatusBadGateway || status == kStatusGatewayTimeout;
}

// A caller without an answer cancels its job. If there is none, it never runs.
void GiveUp(SoakSite& site, SoakJob& job) {
  AnyDaemon(site).Send(RequestFor(job, "DELETE"), kTimeout,
                       [&site, &job](const Result<HttpResponse>& answer) {
                         const unsigned status =
                             answer ? answer.assume_value().m_status : 0;
                         job.m_is_rejected = status == kStatusGone;
                         if (status == kStatusGone || status == kStatusOk)
                           return;
                         Later(site, [&site, &job] { GiveUp(site, job); });
                       });
}

void Send(SoakSite& site, SoakJob& job) {
  HttpRequest request = RequestFor(job, "POST");
  request.m_headers.emplace_back("Content-Type", "application/json");
  request.m_body = WriteJobBody(job.m_job);
  AnyDaemon(site).Send(
      std::move(request), kTimeout,
      [&site, &job](const Result<HttpResponse>& answer) {
        if (IsUnsure(answer)) {
          job.m_is_unsure = true;
          if (job.m_is_impatient) return GiveUp(site, job);
          return Later(site, [&site, &job] { Send(site, job); });
        }
        job.m_is_accepted = answer.assume_value().m_status == kStatusOk;
        job.m_is_rejected = !job.m_is_accepted && !job.m_is_unsure;
      });
}

SoakJob& AddJob(SoakSite& site, SoakTraffic& traffic) {
  constexpr std::size_t kIdBytes = 17;
  constexpr unsigned kShift = 32;
  char id[kIdBytes];
  const std::uint64_t number =
      (site.m_plan.m_seed + 1) << kShift | (traffic.m_jobs.size() + 1);
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(number));
  SoakJob& job = traffic.m_jobs.emplace_back();
  job.m_job.m_id = id;
  job.m_is_impatient = traffic.m_jobs.size() % kImpatientEvery == 0;
  return job;
}

SiteStep DrawStep(Random& random, std::uint64_t fail_percent) {
  SiteStep step;
  step.m_task_count = static_cast<std::uint32_t>(Choose(random, 1, 6));
  step.m_script.m_work = ChooseTime(random, 100, 1500);
  step.m_script.m_fail_percent = fail_percent;
  return step;
}

void OnState(const SoakTraffic& traffic, SoakJob& job,
             const Result<HttpResponse>& answer) {
  job.m_is_asked = false;
  if (!answer) return;
  const HttpResponse& response = answer.assume_value();
  if (response.m_status == kStatusGone && traffic.m_is_calm) {
    job.m_is_lost = true;
  }
  if (response.m_status != kStatusOk) return;
  const TimePoint now = StandinNow();
  job.m_state = ReadJobState(response.m_body);
  if (job.m_state == "completed") {
    job.m_completed_at = std::min(job.m_completed_at, now);
  }
  const bool is_cause_known = job.m_canceled_at != TimePoint::max();
  if (job.m_state == "failed" ||
      (job.m_state == "canceled" && !is_cause_known)) {
    job.m_failed_at = std::min(job.m_failed_at, now);
  }
}

void Ask(SoakSite& site, const SoakTraffic& traffic, SoakJob& job) {
  job.m_is_asked = true;
  AnyDaemon(site).Send(RequestFor(job, "GET"), kTimeout,
                       [&traffic, &job](const Result<HttpResponse>& answer) {
                         OnState(traffic, job, answer);
                       });
}

void Cancel(SoakSite& site, SoakJob& job) {
  AnyDaemon(site).Send(
      RequestFor(job, "DELETE"), kTimeout,
      [&site, &job](const Result<HttpResponse>& answer) {
        const bool is_done =
            answer && (answer.assume_value().m_status == kStatusOk ||
                       answer.assume_value().m_status == kStatusGone);
        if (!is_done) return Later(site, [&site, &job] { Cancel(site, job); });
        job.m_canceled_at = StandinNow();
      });
}

}  // namespace

void SubmitJob(SoakSite& site, SoakTraffic& traffic) {
  constexpr std::uint64_t kKinds = 6;
  constexpr std::uint64_t kSomeFail = 20;
  constexpr std::uint64_t kManyFail = 60;
  Random& random = site.m_plan.m_random;
  SoakJob& job = AddJob(site, traffic);
  const std::uint64_t kind = NextBelow(random, kKinds);
  job.m_job.m_is_frail = kind == 0;
  SiteStep step = DrawStep(random, kind == 0 ? kManyFail : kSomeFail);
  if (kind == 1) step.m_script.m_gang_size = step.m_task_count;
  job.m_job.m_steps.push_back(step);
  if (kind == 2 || kind == 3) {
    SiteStep next = DrawStep(random, kSomeFail);
    next.m_is_after_previous = true;
    job.m_job.m_steps.push_back(next);
  }
  Send(site, job);
}

void SubmitFailingJobs(SoakSite& site, SoakTraffic& traffic, int count) {
  constexpr std::uint64_t kHalfFail = 50;
  constexpr std::uint64_t kMostFail = 85;
  for (int number = 0; number < count; ++number) {
    Random& random = site.m_plan.m_random;
    SoakJob& job = AddJob(site, traffic);
    const bool is_hopeless = NextBelow(random, 2) == 0;
    SiteStep step = DrawStep(random, is_hopeless ? kMostFail : kHalfFail);
    step.m_task_count = static_cast<std::uint32_t>(Choose(random, 4, 8));
    step.m_script.m_work = ChooseTime(random, 200, 900);
    job.m_job.m_is_frail = NextBelow(random, 2) == 0;
    job.m_job.m_steps.push_back(step);
    Send(site, job);
  }
}

void SubmitLongJob(SoakSite& site, SoakTraffic& traffic) {
  // Runs take half of it to one and a half of it.
  constexpr Duration kWork = std::chrono::seconds(24);
  SoakPlan& plan = site.m_plan;
  SoakJob& job = AddJob(site, traffic);
  SiteStep step;
  step.m_task_count =
      static_cast<std::uint32_t>(Choose(plan.m_random, 1, plan.m_workers));
  step.m_script.m_work = kWork;
  job.m_job.m_steps.push_back(step);
  Send(site, job);
}

void SubmitLastingJob(SoakSite& site, SoakTraffic& traffic) {
  SoakJob& job = AddJob(site, traffic);
  job.m_is_lasting = true;
  SiteStep step;
  step.m_task_count =
      static_cast<std::uint32_t>(Choose(site.m_plan.m_random, 1, 12));
  step.m_is_lasting = true;
  job.m_job.m_steps.push_back(step);
  Send(site, job);
}

void AskForStates(SoakSite& site, SoakTraffic& traffic) {
  std::size_t asked = 0;
  for (std::size_t count = 0; count < traffic.m_jobs.size(); ++count) {
    if (asked == kAskedAtOnce) return;
    traffic.m_next_asked = (traffic.m_next_asked + 1) % traffic.m_jobs.size();
    SoakJob& job = traffic.m_jobs[traffic.m_next_asked];
    if (!job.m_is_accepted || job.m_is_asked || HasEnded(job)) continue;
    Ask(site, traffic, job);
    ++asked;
  }
}

void CancelLastingJobs(SoakSite& site, SoakTraffic& traffic) {
  for (SoakJob& job : traffic.m_jobs) {
    if (job.m_is_lasting && job.m_is_accepted) Cancel(site, job);
  }
}

}  // namespace daisyarch::soak
