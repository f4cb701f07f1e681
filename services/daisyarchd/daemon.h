#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/result.h"
#include "settings/settings.h"

namespace daisyarch {

/// One daemon on a loop: its servers, its services and their timers.
class Daemon {
 public:
  /// kUnavailable when an address cannot be bound; kInvalidArgument or
  /// kNotFound for a chart.
  static Result<std::unique_ptr<Daemon>> Create(boost::asio::io_context& loop,
                                                const Settings& settings);

  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Stops gracefully: requests in flight are answered, partitions handed
  /// over, and the loop then runs out of work.
  void StartDrain();

  struct State;

 private:
  explicit Daemon(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace daisyarch
