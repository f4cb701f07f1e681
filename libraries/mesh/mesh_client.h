#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "http/address.h"
#include "mesh/mesh_server.h"

namespace daisyarch {

/// Calls one peer over one connection, which it opens when it is needed and
/// replaces when a call runs out of time: a connection can go silent for
/// good while new ones work.
class MeshClient {
 public:
  MeshClient(boost::asio::io_context& loop, Address address);
  ~MeshClient();
  MeshClient(const MeshClient&) = delete;
  MeshClient& operator=(const MeshClient&) = delete;

  /// Calls `on_answer` exactly once. kUnavailable: certainly not sent.
  /// kOutcomeUnknown: sent, and no answer came within `timeout`. Other
  /// codes are the peer's own.
  void Call(const std::string& method, Json body, Duration timeout,
            MeshResponder on_answer);

  struct State;

 private:
  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
