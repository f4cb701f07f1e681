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

/// The monotonic clock, for all decisions, and the wall clock, for the times in
/// records, for incarnations and for the seed of the gateway's random numbers.
struct Clock {
  std::function<TimePoint()> m_now;
  std::function<std::int64_t()> m_unix_milliseconds;
};

/// Calls a method of another node at its mesh address.
struct PeerCaller {
  std::function<void(const std::string& address, const std::string& method,
                     Json body, Duration timeout, MeshResponder on_answer)>
      m_call;
};

/// Sends a control message to a worker and returns its report.
struct WorkerCaller {
  std::function<void(const std::string& address, const WorkerId& worker,
                     const WorkerControl& control, Duration timeout,
                     std::function<void(Result<WorkerReport>)> on_answer)>
      m_exchange;
};

/// Sends a client's request to an endpoint.
struct EndpointCaller {
  std::function<void(const std::string& address, HttpRequest request,
                     Duration timeout, HttpResponseCallback on_answer)>
      m_send;
  /// Closes every connection to endpoints; requests in flight end without an
  /// answer.
  std::function<void()> m_close_connections = [] {};
};

/// The state machines of all the daemon's charts.
struct StateMachines {
  NodeStateMachine m_node;
  RequestStateMachine m_request;
  EndpointStateMachine m_endpoint;
  PlacementStateMachines m_placement;
  PartitionStateMachine m_partition;
  PeerStateMachine m_peer;
  StoreStateMachine m_store;
};

/// Loads every chart. kInvalidArgument or kNotFound with the faulty file.
Result<StateMachines> LoadStateMachines(const std::string& directory);

/// The dependencies that the services of one daemon share.
struct Runtime {
  Settings m_settings;
  StateMachines m_state_machines;
  Clock m_clock;
  Platform m_platform;
  PeerCaller m_peers;
  WorkerCaller m_workers;
  EndpointCaller m_endpoints;
  StoreHealth m_store_health;
  Metrics m_metrics;
};

/// Wraps a platform so that the answers to reads, compare-and-swaps and lease
/// renewals update the store's health. `runtime` must outlive the result.
Platform ObserveStoreHealth(const Platform& platform, Runtime& runtime);

}  // namespace daisyarch
