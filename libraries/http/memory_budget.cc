#include "http/memory_budget.h"

#include <algorithm>
#include <utility>

namespace daisyarch {

namespace {

// Descriptors that are no sockets, and those that listen.
constexpr std::size_t kOtherDescriptors = 200;
constexpr std::size_t kOperationsConnections = 32;
constexpr std::size_t kStoreConnections = 32;
constexpr std::size_t kLeastPeerConnections = 2;
constexpr std::size_t kMostPeerConnections = 16;

std::size_t IndexOf(PeerKind kind) { return static_cast<std::size_t>(kind); }

std::size_t Difference(std::size_t whole, std::size_t part) {
  return whole - std::min(whole, part);
}

// Returns what is left to the kind of its own maximum.
std::size_t OwnRoom(const ResourceLimits& limits,
                    const std::array<std::size_t, kPeerKinds>& used,
                    PeerKind kind) {
  return Difference(limits.m_maximum[IndexOf(kind)], used[IndexOf(kind)]);
}

// Returns what is left to the kind beside what others use or have reserved.
std::size_t RoomFor(const ResourceLimits& limits,
                    const std::array<std::size_t, kPeerKinds>& used,
                    PeerKind kind) {
  std::size_t taken = 0;
  for (std::size_t other = 0; other < kPeerKinds; ++other) {
    taken += other == IndexOf(kind)
                 ? used[other]
                 : std::max(used[other], limits.m_reserved[other]);
  }
  return std::min(Difference(limits.m_total, taken),
                  OwnRoom(limits, used, kind));
}

// This process chooses how many connections to others it opens; clients make
// room for these.
bool IsOpenedHere(PeerKind kind) {
  return kind == PeerKind::kStore || kind == PeerKind::kWorker ||
         kind == PeerKind::kRelay;
}

PeerKind WhoGivesWay(PeerKind kind) {
  return IsOpenedHere(kind) ? PeerKind::kClient : kind;
}

bool IsWithoutRequest(const Holding& holding) {
  return holding.m_state == HoldingState::kIdle ||
         holding.m_state == HoldingState::kUnfinished;
}

void Leave(MemoryBudget& budget, Holding& holding) {
  if (holding.m_is_leaving) return;
  holding.m_is_leaving = true;
  budget.m_bytes[IndexOf(holding.m_kind)] -= holding.m_bytes;
  --budget.m_connections[IndexOf(holding.m_kind)];
  holding.m_bytes = 0;
}

void MakeGiveWay(MemoryBudget& budget, Holding& holding, RefusalCause cause) {
  NoteRefusal(budget, holding.m_kind, cause);
  Leave(budget, holding);
  holding.m_give_way();
}

template <typename Predicate>
HoldingId FindFirst(MemoryBudget& budget, PeerKind kind,
                    const Predicate& can_give_way) {
  return std::find_if(budget.m_holdings.begin(), budget.m_holdings.end(),
                      [&](const Holding& holding) {
                        return holding.m_kind == kind &&
                               !holding.m_is_leaving && can_give_way(holding);
                      });
}

HoldingId FindLongestWaiting(MemoryBudget& budget, PeerKind kind) {
  const HoldingId none = budget.m_holdings.end();
  const HoldingId waiting = FindFirst(budget, kind, IsWithoutRequest);
  if (waiting != none) return waiting;
  // Those that read nothing of their answers would hold all connections for as
  // long as an answer may take.
  return FindFirst(budget, kind, [kind](const Holding& holding) {
    // A peer's call that is cut is called again.
    return holding.m_state == HoldingState::kStalled || kind == PeerKind::kPeer;
  });
}

HoldingId FindLargest(MemoryBudget& budget, PeerKind kind) {
  HoldingId largest = budget.m_holdings.end();
  for (auto holding = budget.m_holdings.begin();
       holding != budget.m_holdings.end(); ++holding) {
    const bool can_give_way = holding->m_kind == kind &&
                              !holding->m_is_leaving &&
                              IsWithoutRequest(*holding);
    if (!can_give_way) continue;
    if (largest == budget.m_holdings.end() ||
        holding->m_bytes > largest->m_bytes) {
      largest = holding;
    }
  }
  return largest;
}

}  // namespace

const char* ToString(PeerKind kind) {
  static constexpr const char* kNames[kPeerKinds] = {
      "client", "operations", "store", "worker", "peer", "relay"};
  return kNames[IndexOf(kind)];
}

const char* ToString(RefusalCause cause) {
  static constexpr const char* kNames[] = {"header_too_large", "body_too_large",
                                           "malformed",        "too_slow",
                                           "memory",           "connections"};
  return kNames[static_cast<std::size_t>(cause)];
}

MemoryBudgetLimits DeriveBudgetLimits(std::size_t memory_bytes,
                                      std::size_t descriptors) {
  MemoryBudgetLimits limits;
  // A buffer that grows can take twice what it holds, and a message that is
  // being parsed is there twice, so a quarter of the memory is counted out.
  const std::size_t bytes = memory_bytes / 4;
  limits.m_bytes.m_total = bytes;
  limits.m_bytes.m_reserved = {0,         bytes / 32, bytes / 4,
                               bytes / 8, bytes / 8,  0};
  limits.m_bytes.m_maximum = {bytes / 2, bytes / 32, bytes,
                              bytes / 2, bytes / 4,  bytes / 4};
  const std::size_t sockets = Difference(descriptors, kOtherDescriptors);
  const std::size_t peers =
      std::clamp(bytes / 4 / kMaximumRelayCallBytes, kLeastPeerConnections,
                 kMostPeerConnections);
  limits.m_connections.m_total = sockets;
  limits.m_connections.m_reserved = {
      0, kOperationsConnections, kStoreConnections, sockets / 2, peers, 0};
  limits.m_connections.m_maximum = {
      sockets / 4, kOperationsConnections, SIZE_MAX, SIZE_MAX, peers, SIZE_MAX};
  return limits;
}

HoldingId OpenHolding(MemoryBudget& budget, PeerKind kind,
                      std::function<void()> give_way) {
  const auto has_room = [&budget, kind] {
    return RoomFor(budget.m_limits.m_connections, budget.m_connections, kind) >
           0;
  };
  while (!has_room()) {
    const HoldingId victim = FindLongestWaiting(budget, WhoGivesWay(kind));
    if (victim != budget.m_holdings.end()) {
      MakeGiveWay(budget, *victim, RefusalCause::kConnections);
      continue;
    }
    if (IsOpenedHere(kind)) break;
    NoteRefusal(budget, kind, RefusalCause::kConnections);
    return budget.m_holdings.end();
  }
  ++budget.m_connections[IndexOf(kind)];
  return budget.m_holdings.insert(
      budget.m_holdings.end(),
      Holding{kind, HoldingState::kIdle, 0, std::move(give_way)});
}

void CloseHolding(MemoryBudget& budget, HoldingId holding) {
  Leave(budget, *holding);
  budget.m_holdings.erase(holding);
}

void SetHoldingState(MemoryBudget& budget, HoldingId holding,
                     HoldingState state) {
  holding->m_state = state;
  budget.m_holdings.splice(budget.m_holdings.end(), budget.m_holdings, holding);
}

bool ChargeHolding(MemoryBudget& budget, HoldingId holding, std::size_t bytes) {
  if (holding->m_is_leaving) return false;
  const PeerKind kind = holding->m_kind;
  const ResourceLimits& limits = budget.m_limits.m_bytes;
  while (bytes > holding->m_bytes) {
    const std::size_t missing = bytes - holding->m_bytes;
    if (missing <= RoomFor(limits, budget.m_bytes, kind)) break;
    const HoldingId victim = FindLargest(budget, WhoGivesWay(kind));
    const bool can_help =
        victim != budget.m_holdings.end() && victim != holding &&
        (IsOpenedHere(kind) ? missing <= OwnRoom(limits, budget.m_bytes, kind)
                            : victim->m_bytes >= bytes);
    if (!can_help) {
      NoteRefusal(budget, kind, RefusalCause::kMemory);
      return false;
    }
    MakeGiveWay(budget, *victim, RefusalCause::kMemory);
  }
  std::size_t& used = budget.m_bytes[IndexOf(kind)];
  used = used - holding->m_bytes + bytes;
  holding->m_bytes = bytes;
  return true;
}

void NoteRefusal(const MemoryBudget& budget, PeerKind kind,
                 RefusalCause cause) {
  if (budget.m_on_refusal) budget.m_on_refusal(kind, cause);
}

}  // namespace daisyarch
