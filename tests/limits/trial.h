#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "faulty_peer.h"
#include "http/http_message.h"
#include "models/site_node.h"
#include "soak/child_process.h"

namespace daisyarch::limits {

constexpr auto kPause = std::chrono::milliseconds(200);
constexpr auto kCrowdTime = std::chrono::seconds(20);

/// A daemon with its store, the connections of a crowd, and peers at fault.
struct Trial {
  boost::asio::io_context m_loop;
  std::string m_build;
  std::string m_root;
  std::string m_folder;
  soak::ChildProcess m_store;
  soak::ChildProcess m_daemon;
  SiteNode m_node;
  std::uint16_t m_store_port = 0;
  std::uint16_t m_control_port = 0;
  std::vector<boost::asio::ip::tcp::socket> m_reserved_ports;
  std::size_t m_unfinished = 0;  ///< Connections that are still sending.
  std::size_t m_sent_bytes = 0;  ///< Of the crowd.
  std::size_t m_connected = 0;   ///< Connections of the crowd that were made.
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
  std::vector<std::unique_ptr<FaultyPeer>> m_peers;
};

std::uint16_t ReservePort(Trial& trial);

/// Opens a peer and returns its port.
std::uint16_t AddPeer(Trial& trial);

/// Runs the crowd and the peers for this time.
void Pause(Trial& trial);

/// Returns the status; 0 without an answer.
unsigned Ask(Trial& trial, std::uint16_t port, HttpRequest request);

/// Writes the key as the operator and the workers do.
void PutKey(Trial& trial, const std::string& key, const std::string& value);

/// Starts the store.
bool StartStore(Trial& trial);

/// Starts the daemon; false if it does not serve.
bool StartDaemon(Trial& trial);

/// Returns whether each address of the daemon answers an ordinary request.
bool IsServing(Trial& trial, const std::string& job_id);

struct Measured {
  bool m_is_alive = false;
  bool m_is_serving = false;
  std::size_t m_peak_megabytes = 0;
  std::size_t m_descriptors = 0;
};

/// Measures the daemon while the crowd and the peers are still there.
Measured Measure(Trial& trial);

/// Prints the figures and returns whether they stay within the limits.
bool Judge(const std::string& name, const Measured& measured);

}  // namespace daisyarch::limits
