#pragma once

#include <functional>
#include <string>

#include "base/time.h"
#include "decisions/configuration/store_chart.h"
#include "decisions/membership/peer_table.h"
#include "decisions/node/node_chart.h"
#include "decisions/ownership/partition_chart.h"
#include "decisions/placement/partition_engine.h"
#include "decisions/retry/request_chart.h"
#include "decisions/routing/endpoint.h"
#include "http/http_client.h"
#include "mesh/mesh_server.h"
#include "metrics/metrics.h"
#include "platform/platform.h"
#include "settings/settings.h"

namespace daisyarch {

/// The clocks: the loop's own for all decisions, the calendar for records.
struct Clock {
  std::function<TimePoint()> m_now;
  std::function<std::int64_t()> m_unix_milliseconds;
};

/// Calls another node: its mesh address, the method and its body.
struct PeerCaller {
  std::function<void(const std::string& address, const std::string& method,
                     Json body, Duration timeout, MeshResponder on_answer)>
      m_call;
};

/// Sends a message to a worker.
struct WorkerCaller {
  std::function<void(const std::string& address, const WorkerId& worker,
                     const WorkerControl& control, Duration timeout,
                     std::function<void(Result<WorkerReport>)> on_answer)>
      m_exchange;
};

/// Sends a caller's request to an endpoint.
struct EndpointCaller {
  std::function<void(const std::string& address, HttpRequest request,
                     Duration timeout, HttpResponseCallback on_answer)>
      m_send;
  /// Closes every connection to endpoints; what is in flight ends without an
  /// answer.
  std::function<void()> m_drop_all = [] {};
};

/// Every chart of the daemon, compiled.
struct Machines {
  NodeMachine m_node;
  RequestMachine m_request;
  EndpointMachine m_endpoint;
  PlacementMachines m_placement;
  PartitionMachine m_partition;
  PeerMachine m_peer;
  StoreMachine m_store;
};

/// Loads every chart; kInvalidArgument or kNotFound with the file at fault.
Result<Machines> LoadMachines(const std::string& directory);

/// What the services of one daemon share.
struct Runtime {
  Settings m_settings;
  Machines m_machines;
  Clock m_clock;
  Platform m_platform;
  PeerCaller m_peers;
  WorkerCaller m_workers;
  EndpointCaller m_endpoints;
  StoreHealth m_store_health;
  Metrics m_metrics;
};

/// Wraps a platform so that each answer tells of the store's health.
Platform WatchHealth(const Platform& platform, Runtime& runtime);

}  // namespace daisyarch
