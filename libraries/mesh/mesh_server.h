#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "http/address.h"
#include "http/memory_budget.h"
#include "wire/json.h"

namespace daisyarch {

/// The largest message that a peer may send, in bytes.
constexpr std::size_t kMaximumMeshMessageBytes = 4UL * 1024 * 1024;

/// Receives the result of one call; must be called exactly once.
using MeshResponder = std::function<void(Result<Json>)>;

/// Handles one call from the peer at the remote address `peer`.
using MeshHandler =
    std::function<void(const std::string& method, const Json& body,
                       const std::string& peer, MeshResponder respond)>;

struct MeshServerLimits {
  std::size_t m_maximum_message_bytes = kMaximumMeshMessageBytes;
  /// Limits the connections; null: they are not limited.
  std::shared_ptr<MemoryBudget> m_budget;
};

/// Serves calls from other nodes, as CBOR messages over WebSocket.
class MeshServer {
 public:
  /// kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<MeshServer>> Create(
      boost::asio::io_context& loop, const Address& address,
      MeshHandler handler, const MeshServerLimits& limits = {});

  ~MeshServer();
  MeshServer(const MeshServer&) = delete;
  MeshServer& operator=(const MeshServer&) = delete;

  /// Stops accepting connections and closes the open ones. Pending calls get no
  /// answer.
  void Stop();

  struct State;

 private:
  explicit MeshServer(std::shared_ptr<State> state);

  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
