#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace daisyarch::fleet {

struct Fleet;

/// The failure domains to which nothing more is sent until the operator takes
/// that back.
struct Evacuations {
  std::set<FailureDomainId> m_domains;
  /// What the operator had requested by then is in m_domains; 0: not known.
  TimePoint m_known_at{};
  /// No start is sent on what was known longer ago. Empty: the platform states
  /// no bound, and its evacuations are not followed.
  std::optional<Duration> m_maximum_age;
};

/// A failure domain whose evacuation has begun or has been taken back.
struct EvacuationChange {
  FailureDomainId m_domain;
  bool m_is_evacuated = false;
  std::size_t m_workers = 0;  ///< Its known workers.
  std::size_t m_runs = 0;     ///< On these workers; they run on.
};

/// Returns the longest age at which what is known of the evacuations suffices
/// for a start that a relay may hold back; `bound` is how long after its
/// request an evacuation binds each start.
Duration MaximumEvacuationsAge(Duration bound);

/// Returns whether what is known of the evacuations is recent enough for a
/// start.
bool AreEvacuationsKnown(const Evacuations& evacuations, TimePoint now);

/// Returns whether nothing more may be sent to workers of the domain.
bool IsEvacuated(const Evacuations& evacuations, const FailureDomainId& domain);

/// Replaces the domains under evacuation, as known at `known_at`. Returns those
/// that have changed.
std::vector<EvacuationChange> ApplyEvacuations(
    Fleet& fleet, const std::set<FailureDomainId>& domains, TimePoint known_at);

}  // namespace daisyarch::fleet
