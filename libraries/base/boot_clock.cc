#include "base/boot_clock.h"

#include <time.h>

namespace daisyarch {

TimePoint BootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace daisyarch
