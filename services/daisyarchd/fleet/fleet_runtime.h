#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/job_routes.h"
#include "decisions/fleet/relay.h"
#include "decisions/fleet/start_answer.h"
#include "decisions/leadership/leadership.h"
#include "fleet/withdrawals.h"
#include "metrics/metrics.h"
#include "platform/store.h"
#include "settings/site_settings.h"

namespace daisyarch::fleet {

/// Clocks, and ways to run a function later on the event loop.
struct FleetClock {
  /// Monotonic time that also advances while the machine is suspended, so
  /// that leases expire then too.
  std::function<TimePoint()> m_now;
  std::function<std::int64_t()> m_unix_ms;
  /// Runs a function after the events that are already due.
  std::function<void(std::function<void()>)> m_defer;
  /// Runs a function once, after a delay.
  std::function<void(Duration, std::function<void()>)> m_run_after;
};

/// Sends orders to workers at their addresses.
struct OrderSender {
  std::function<void(const std::string& address, const StartOrder&,
                     std::function<void(StartAnswer)>)>
      m_start;
  std::function<void(const std::string& address, const StopOrder&,
                     std::function<void(Result<void>)>)>
      m_stop;
  std::function<void(const std::string& address, const ThrottleOrder&,
                     std::function<void(Result<void>)>)>
      m_throttle;
  std::function<void(const std::string& address, const PollOrder&,
                     std::function<void(Result<WorkerReport>)>)>
      m_poll;
  /// Closes every connection to a worker that is no longer needed.
  std::function<void(const std::string& address)> m_close_connections;
};

/// Calls the relay at an address. kUnavailable: the call was not sent.
using RelayCaller = std::function<void(
    const std::string& address, std::string call, Duration timeout,
    std::function<void(Result<std::string>)> on_answer)>;

/// Keys and decoders of the entries that the platform itself writes to its
/// store: the operators' configuration and evacuations, and the registered
/// workers.
struct SiteCodec {
  std::string m_configuration_key;
  std::function<Result<JobRoutes>(const std::string&)> m_read_configuration;
  std::string m_worker_prefix;
  std::function<std::vector<ListedWorker>(const std::vector<StoredItem>&)>
      m_read_workers;
  /// A key for each failure domain that the operator evacuates: this prefix and
  /// the domain.
  std::string m_evacuation_prefix;
};

/// Dependencies that the parts of one node share.
struct FleetRuntime {
  SiteSettings m_settings;
  FleetClock m_clock;
  Store m_store;
  OrderSender m_order_sender;
  SiteCodec m_codec;
  FleetStateMachines m_fleet_state_machines;
  LeadershipStateMachine m_leadership_state_machine;
  RelayCaller m_call_relay;
  RelayLimits m_relay_limits;
  std::unique_ptr<Metrics> m_metrics = std::make_unique<Metrics>();
  Withdrawals m_withdrawals;
};

}  // namespace daisyarch::fleet
