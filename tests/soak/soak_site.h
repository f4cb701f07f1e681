#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "http/http_client.h"
#include "models/site_node.h"
#include "soak_plan.h"
#include "wire/json.h"

namespace daisyarch::soak {

/// A daemon under test. It is started again after each of its ends.
struct SoakDaemon {
  SiteNode m_node;
  std::string m_settings;
  ChildProcess m_process;
  TimePoint m_restart_at{};
  bool m_is_end_expected = false;
  std::unique_ptr<HttpClient> m_callers;  ///< Its connections are kept open.
};

/// All processes of one seed.
struct SoakSite {
  explicit SoakSite(boost::asio::io_context& loop) : m_loop(loop) {}

  boost::asio::io_context& m_loop;
  SoakPlan m_plan;
  ChildProcess m_store;
  ChildProcess m_workers;
  ChildProcess m_proxy;
  std::unique_ptr<HttpClient> m_store_control;
  std::unique_ptr<HttpClient> m_worker_control;
  std::unique_ptr<HttpClient> m_proxy_control;
  std::vector<SoakDaemon> m_daemons;
  /// Sockets that keep the daemons' ports from other processes.
  std::vector<boost::asio::ip::tcp::socket> m_reserved_ports;
  std::size_t m_leader = 0;  ///< The last daemon known to hold the claim.
  bool m_has_leader = false;
  std::uint64_t m_leader_changes = 0;
  /// What is still to happen, by time.
  std::multimap<TimePoint, std::function<void()>> m_agenda;
  std::string m_failure;  ///< A daemon that ended by itself.
};

/// Starts the stand-ins and the daemons; returns false if one does not start.
bool StartSite(SoakSite& site);
void EndSite(SoakSite& site);

/// Carries out what is due and starts daemons again that have ended.
void TickSite(SoakSite& site, TimePoint now);

/// Asks the store which daemon leads.
void AskForLeader(SoakSite& site);

/// Sends an order to a stand-in; its answer does not matter.
void Control(HttpClient& client, const char* path, const Json& body);

std::string WorkerName(std::uint64_t number);
/// The failure domain of the worker; each is one of three.
std::string ZoneOf(std::uint64_t worker);

std::string RecordPath(const SoakPlan& plan);

}  // namespace daisyarch::soak
