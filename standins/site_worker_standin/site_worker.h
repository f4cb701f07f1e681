#pragma once

#include <list>
#include <memory>
#include <string>

#include "held_call.h"
#include "http/http_server.h"
#include "models/fleet_worker_model.h"
#include "pending_poll.h"

namespace daisyarch {

/// One worker of the stand-in: its model and what surrounds it.
struct SiteWorker {
  std::string m_name;  ///< Of its address, which outlives its id.
  std::string m_id;
  std::string m_zone;
  std::string m_address;  ///< Where the nodes reach it; empty: not begun.
  fleet::FleetWorkerModel m_model;
  std::unique_ptr<HttpServer> m_server;
  std::list<PendingPoll> m_polls;
  std::string m_payload;  ///< Of the start order that is carried out.
  std::uint64_t m_heartbeats = 0;
  TimePoint m_next_heartbeat_at{};
  /// When it ends. Before, it holds the calls that arrive.
  TimePoint m_ends_at = TimePoint::max();
  std::list<HeldCall> m_held_calls;
  /// While it is down: when it starts again, and under which id.
  TimePoint m_restart_at{};
  std::string m_next_id;
  Duration m_down{};
  Duration m_latest_call{};  ///< Held calls are spread over this time.
  /// An id that it has given up, and when its entry is removed.
  std::string m_former_id;
  TimePoint m_remove_at = TimePoint::max();
};

}  // namespace daisyarch
