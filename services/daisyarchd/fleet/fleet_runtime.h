#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/job_routes.h"
#include "decisions/leadership/leadership.h"
#include "metrics/metrics.h"
#include "platform/store.h"
#include "settings/site_settings.h"

namespace daisyarch::fleet {

/// The clocks, and a way to run something later in this turn of the loop.
struct FleetClock {
  /// Counts while the machine is suspended, so that leases lapse.
  std::function<TimePoint()> m_now;
  std::function<std::int64_t()> m_unix_ms;
  /// Runs after the events that are due now.
  std::function<void(std::function<void()>)> m_defer;
  std::function<void(Duration, std::function<void()>)> m_run_after;
};

/// Sends orders to workers at their addresses.
struct WorkerOrders {
  std::function<void(const std::string& address, const StartOrder&,
                     std::function<void(StartOutcome)>)>
      m_start;
  std::function<void(const std::string& address, const StopOrder&,
                     std::function<void(Result<void>)>)>
      m_stop;
  std::function<void(const std::string& address, const ThrottleOrder&,
                     std::function<void(Result<void>)>)>
      m_pace;
  std::function<void(const std::string& address, const PollOrder&,
                     std::function<void(Result<WorkerReport>)>)>
      m_look;
  /// Closes every connection to a worker that is no longer needed.
  std::function<void(const std::string& address)> m_forget;
};

/// Decodes what the platform itself keeps in its store.
struct SiteCodec {
  std::string m_configuration_key;
  std::function<Result<JobRoutes>(const std::string&)> m_read_configuration;
  std::string m_worker_prefix;
  std::function<std::vector<ListedWorker>(const std::vector<StoredItem>&)>
      m_read_workers;
};

/// What the services of one node share.
struct FleetRuntime {
  SiteSettings m_settings;
  FleetClock m_clock;
  Store m_store;
  WorkerOrders m_orders;
  SiteCodec m_codec;
  FleetMachines m_fleet_machines;
  LeadershipMachine m_leadership_machine;
  std::unique_ptr<Metrics> m_metrics = std::make_unique<Metrics>();
};

}  // namespace daisyarch::fleet
