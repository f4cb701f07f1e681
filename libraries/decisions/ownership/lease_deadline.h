#pragma once

#include "base/time.h"

namespace daisyarch {

/// The largest difference between the clock rates of two hosts, in thousandths.
constexpr std::int64_t kClockDriftPermille = 10;

/// Returns when the holder must stop using the lease: `requested_at` plus the
/// term shortened by the clock drift. `requested_at` must be taken before the
/// lease is requested.
TimePoint HolderDeadline(TimePoint requested_at, Duration term);

/// Returns when others may consider the lease expired: the latest time at which
/// it may have been granted, plus the term lengthened by the clock drift.
TimePoint LapseDeadline(TimePoint latest_grant, Duration term);

}  // namespace daisyarch
