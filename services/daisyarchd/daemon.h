#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/result.h"
#include "settings/settings.h"

namespace daisyarch {

/// One daemon on an event loop: its servers, services, clients and timer.
class Daemon {
 public:
  /// Loads the charts, opens the servers and starts the node. kUnavailable if
  /// an address cannot be bound; kInvalidArgument or kNotFound if a chart
  /// cannot be loaded.
  static Result<std::unique_ptr<Daemon>> Create(boost::asio::io_context& loop,
                                                const Settings& settings);

  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Stops gracefully: requests in flight are answered and partitions are
  /// handed over, within the drain timeout; then the loop is stopped.
  void StartDrain();

  struct State;

 private:
  explicit Daemon(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace daisyarch
