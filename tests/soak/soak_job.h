#pragma once

#include <optional>
#include <string>

#include "base/time.h"
#include "models/site_job.h"

namespace daisyarch::soak {

/// What the caller of a job knows of it.
struct SoakJob {
  SiteJob m_job;
  bool m_is_lasting = false;
  bool m_is_accepted = false;
  /// Each request for it was rejected, so it must never run.
  bool m_is_rejected = false;
  bool m_is_unsure = false;  ///< A request had no answer.
  /// Its caller cancels it then, and does not ask again.
  bool m_is_impatient = false;
  bool m_is_asked = false;  ///< A request for its state is open.
  std::string m_state;      ///< The last one shown.
  TimePoint m_completed_at = TimePoint::max();
  TimePoint m_failed_at = TimePoint::max();
  TimePoint m_canceled_at = TimePoint::max();
  bool m_is_lost = false;  ///< Not known any more, at a calm time.
};

inline bool HasEnded(const SoakJob& job) {
  return job.m_completed_at != TimePoint::max() ||
         job.m_failed_at != TimePoint::max();
}

}  // namespace daisyarch::soak
