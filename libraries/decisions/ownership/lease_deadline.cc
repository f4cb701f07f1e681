#include "decisions/ownership/lease_deadline.h"

namespace daisyarch {

namespace {
constexpr std::int64_t kPermille = 1000;
}  // namespace

TimePoint HolderDeadline(TimePoint asked_at, Duration term) {
  return asked_at + term * (kPermille - kClockDriftPermille) / kPermille;
}

TimePoint LapseDeadline(TimePoint granted_at_the_latest, Duration term) {
  return granted_at_the_latest +
         term * (kPermille + kClockDriftPermille) / kPermille;
}

}  // namespace daisyarch
