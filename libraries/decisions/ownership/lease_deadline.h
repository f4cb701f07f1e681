#pragma once

#include "base/time.h"

namespace daisyarch {

/// The largest difference between the rates of two hosts' clocks, in
/// thousandths.
constexpr std::int64_t kClockDriftPermille = 10;

/// When the holder must stop: counted from before the grant was asked for,
/// and shortened by the drift.
TimePoint HolderDeadline(TimePoint requested_at, Duration term);

/// When everyone else may take the lease as lapsed: counted from the last
/// instant at which it may have been granted, and lengthened by the drift.
TimePoint LapseDeadline(TimePoint latest_grant, Duration term);

}  // namespace daisyarch
