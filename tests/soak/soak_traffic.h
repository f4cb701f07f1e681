#pragma once

#include <deque>

#include "soak_job.h"
#include "soak_site.h"

namespace daisyarch::soak {

/// The callers of one seed.
struct SoakTraffic {
  std::deque<SoakJob> m_jobs;
  std::size_t m_next_asked = 0;
  bool m_is_calm = false;  ///< The faults have been over for some time.
};

/// Submits a job of a kind that is drawn; repeated until it is answered.
void SubmitJob(SoakSite& site, SoakTraffic& traffic);
/// Submits jobs of one step whose tasks are short and often fail.
void SubmitFailingJobs(SoakSite& site, SoakTraffic& traffic, int count);
/// Submits a job whose tasks run for 12 s or more and do not fail.
void SubmitLongJob(SoakSite& site, SoakTraffic& traffic);
/// Submits a job whose tasks run until it is cancelled.
void SubmitLastingJob(SoakSite& site, SoakTraffic& traffic);

/// Asks for the states of some jobs, in turn, at daemons that are drawn.
void AskForStates(SoakSite& site, SoakTraffic& traffic);

/// Cancels the jobs that last; repeated until it is answered.
void CancelLastingJobs(SoakSite& site, SoakTraffic& traffic);

}  // namespace daisyarch::soak
