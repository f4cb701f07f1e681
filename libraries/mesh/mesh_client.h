#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "http/address.h"
#include "mesh/mesh_server.h"

namespace daisyarch {

struct MeshClientLimits {
  std::size_t m_maximum_message_bytes = kMaximumMeshMessageBytes;
  /// Limits what answers hold until they are whole; null: it is not limited.
  std::shared_ptr<MemoryBudget> m_budget;
};

/// Calls one peer over one connection. The connection is opened on demand and
/// replaced when a call times out: an established connection can stop
/// responding for good while new connections work.
class MeshClient {
 public:
  MeshClient(boost::asio::io_context& loop, Address address,
             const MeshClientLimits& limits = {});
  ~MeshClient();
  MeshClient(const MeshClient&) = delete;
  MeshClient& operator=(const MeshClient&) = delete;

  /// Calls `on_answer` exactly once, unless the client is destroyed before.
  /// kUnavailable: the call was certainly not sent. kOutcomeUnknown: it was
  /// sent, but no answer arrived within `timeout` or before the connection was
  /// lost. Other codes come from the peer.
  void Call(const std::string& method, Json body, Duration timeout,
            MeshResponder on_answer);

  /// Returns whether a call has no answer yet.
  bool IsCalling() const;

  struct State;

 private:
  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
