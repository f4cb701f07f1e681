#include "decisions/ownership/lease_deadline.h"

namespace daisyarch {

namespace {
constexpr std::int64_t kPermille = 1000;
}  // namespace

TimePoint HolderDeadline(TimePoint requested_at, Duration term) {
  return requested_at + term * (kPermille - kClockDriftPermille) / kPermille;
}

TimePoint LapseDeadline(TimePoint latest_grant, Duration term) {
  return latest_grant + term * (kPermille + kClockDriftPermille) / kPermille;
}

}  // namespace daisyarch
