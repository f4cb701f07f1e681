#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace daisyarch {

/// Returns the time of the monotonic clock.
inline TimePoint StandinNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// Prints the error and returns the exit status 1.
inline int ReportStandinError(const std::string& program, const Error& error) {
  std::cerr << program << ": " << ToString(error) << "\n";
  return 1;
}

/// Runs the loop until SIGTERM or SIGINT, and returns the exit status 0.
inline int RunUntilStopped(boost::asio::io_context& loop) {
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](boost::system::error_code, int) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace daisyarch
