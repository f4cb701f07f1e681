#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace daisyarch {

/// Whose connections hold memory of this process.
enum class PeerKind { kClient, kOperations, kStore, kWorker, kPeer, kRelay };
constexpr std::size_t kPeerKinds = 6;

const char* ToString(PeerKind kind);

/// The largest message of a peer that a node on the users' platform reads. The
/// number of peers' connections follows from it, as each may hold as much.
constexpr std::size_t kMaximumRelayCallBytes = 2UL * 1024 * 1024;

/// A resource of the process, and what each kind of peer may take of it.
struct ResourceLimits {
  std::size_t m_total = SIZE_MAX;
  /// Kept for the kind while it does not use it.
  std::array<std::size_t, kPeerKinds> m_reserved{};
  std::array<std::size_t, kPeerKinds> m_maximum{SIZE_MAX, SIZE_MAX, SIZE_MAX,
                                                SIZE_MAX, SIZE_MAX, SIZE_MAX};
};

struct MemoryBudgetLimits {
  ResourceLimits m_bytes;
  ResourceLimits m_connections;
};

/// Returns the limits of a process with this memory and these descriptors.
MemoryBudgetLimits DeriveBudgetLimits(std::size_t memory_bytes,
                                      std::size_t descriptors);

/// What a connection does: it waits for a request, has received a part of one,
/// has one that is being handled, sends the answer, or sends one that its peer
/// has taken nothing of for a period. While a request is handled and answered,
/// its connection can't be made to give way.
enum class HoldingState { kIdle, kUnfinished, kFinished, kAnswering, kStalled };

/// What one connection makes the process hold.
struct Holding {
  PeerKind m_kind = PeerKind::kClient;
  HoldingState m_state = HoldingState::kIdle;
  std::size_t m_bytes = 0;
  /// Closes the connection at once.
  std::function<void()> m_give_way;
  bool m_is_leaving = false;  ///< Counts no longer.
};

using HoldingId = std::list<Holding>::iterator;

/// Why a peer was refused, or its connection closed.
enum class RefusalCause {
  kHeaderTooLarge,
  kBodyTooLarge,
  kMalformed,
  kTooSlow,
  kMemory,
  kConnections
};

const char* ToString(RefusalCause cause);

/// Counts what all peers make this process hold.
struct MemoryBudget {
  MemoryBudgetLimits m_limits;
  std::array<std::size_t, kPeerKinds> m_bytes{};
  std::array<std::size_t, kPeerKinds> m_connections{};
  /// In the order of their last change of state.
  std::list<Holding> m_holdings;
  /// Learns of each refusal; empty: nobody does.
  std::function<void(PeerKind, RefusalCause)> m_on_refusal;
};

/// Counts a connection. If there is no room for one more of its kind, the
/// client that has waited longest without a whole request gives way, or else
/// the one whose answer has been stalled for longest; without such a client,
/// a connection that a peer has opened does not fit, and the end of the list is
/// returned.
HoldingId OpenHolding(MemoryBudget& budget, PeerKind kind,
                      std::function<void()> give_way);

void CloseHolding(MemoryBudget& budget, HoldingId holding);

void SetHoldingState(MemoryBudget& budget, HoldingId holding,
                     HoldingState state);

/// Sets what the connection holds. If this does not fit, unfinished requests
/// that hold more give way, the largest first. False if there are none, so that
/// this connection has to give way itself; what it held still counts.
bool ChargeHolding(MemoryBudget& budget, HoldingId holding, std::size_t bytes);

void NoteRefusal(const MemoryBudget& budget, PeerKind kind, RefusalCause cause);

}  // namespace daisyarch
