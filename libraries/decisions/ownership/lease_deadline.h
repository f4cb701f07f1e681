#pragma once

#include "base/time.h"

namespace daisyarch {

/// The largest difference between the clock rates of two hosts, in thousandths.
constexpr std::int64_t kClockDriftPermille = 10;

/// Returns when the holder must stop using the lease: its term after
/// `requested_at`, which is before the lease was requested, shortened by the
/// clock drift.
TimePoint HolderDeadline(TimePoint requested_at, Duration term);

/// Returns when others may consider the lease expired: its term after the
/// latest time at which it may have been granted, lengthened by the clock
/// drift.
TimePoint LapseDeadline(TimePoint latest_grant, Duration term);

}  // namespace daisyarch
