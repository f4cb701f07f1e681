#include "slot_loans.h"

#include <algorithm>
#include <cmath>

#include "log/log.h"
#include "wire/node_fields.h"

namespace daisyarch {

namespace {

constexpr Duration kLoanExchangeInterval = std::chrono::milliseconds(250);
constexpr Duration kLoanTimeout = std::chrono::seconds(1);
constexpr Slots kMaximumLoan{32};

Slots RoundUp(double slots) {
  return Slots(static_cast<std::int64_t>(std::ceil(slots)));
}

Slots TotalSlotDemand(const Gateway& gateway) {
  double demand = 0;
  for (const auto& [class_id, queue] : gateway.m_admission.m_classes) {
    demand += queue.m_slot_demand;
  }
  return RoundUp(demand);
}

Slots TotalWaiting(const Gateway& gateway) {
  std::size_t waiting = 0;
  for (const auto& [class_id, queue] : gateway.m_admission.m_classes) {
    waiting += queue.m_waiting;
  }
  return Slots(static_cast<std::int64_t>(waiting));
}

Slots OwnShares(const Gateway& gateway) {
  Slots sum;
  for (const auto& [endpoint, account] : gateway.m_ledger.m_accounts) {
    sum += account.m_share;
  }
  return sum;
}

const Peer* IdlestPeer(const Gateway& gateway) {
  const Peer* best = nullptr;
  for (const auto& [node, peer] : gateway.m_membership.m_table.m_peers) {
    if (peer.m_state != PeerState::kAlive) continue;
    if (peer.m_idle_slots <= Slots()) continue;
    if (best == nullptr || best->m_idle_slots < peer.m_idle_slots) {
      best = &peer;
    }
  }
  return best;
}

void OnLoanAnswered(Gateway& gateway, const NodeId& lender,
                    const Result<Json>& result) {
  gateway.m_loan_calls[lender].m_is_call_pending = false;
  if (!result) return;
  auto loans = Decode<std::vector<SlotLoan>>(result.assume_value(), "read loan",
                                             lender.value());
  if (!loans) return LogError("bad_loan", loans.assume_error());
  AddLoans(gateway.m_ledger, lender, loans.assume_value());
  DispatchWaitingRequests(gateway, gateway.m_runtime.m_clock.m_now());
}

Borrower SelfAsBorrower(const Gateway& gateway) {
  const Member& self = gateway.m_membership.m_table.m_self;
  return Borrower{self.m_node, self.m_incarnation};
}

void BorrowSlots(Gateway& gateway) {
  const Slots waiting = TotalWaiting(gateway);
  if (waiting == Slots()) return;
  const Peer* peer = IdlestPeer(gateway);
  if (peer == nullptr) return;
  const NodeId lender = peer->m_member.m_node;
  LoanCalls& calls = gateway.m_loan_calls[lender];
  if (calls.m_is_call_pending) return;
  calls.m_is_call_pending = true;
  const LoanRequest request{SelfAsBorrower(gateway), ++calls.m_last_call,
                            std::min(waiting, kMaximumLoan)};
  const Member member = peer->m_member;
  const Incarnation own_incarnation =
      gateway.m_membership.m_table.m_self.m_incarnation;
  gateway.m_runtime.m_peers.m_call(
      member.m_mesh_address, "lend_slots", Encode(request), kLoanTimeout,
      [&gateway, member, own_incarnation](const Result<Json>& result) {
        // The loan is void if the lender or this node has meanwhile been
        // replaced by a new incarnation.
        const Member* listed =
            FindMember(gateway.m_ledger.m_members, member.m_node);
        const bool are_incarnations_current =
            listed != nullptr &&
            listed->m_incarnation == member.m_incarnation &&
            own_incarnation ==
                gateway.m_membership.m_table.m_self.m_incarnation;
        if (!are_incarnations_current) {
          gateway.m_loan_calls[member.m_node].m_is_call_pending = false;
          return;
        }
        OnLoanAnswered(gateway, member.m_node, result);
      });
}

// Reports to each lender all slots that are still borrowed from it, even when
// none are left: from the report, the lender learns which of its slots it may
// use again.
void ReportAllLoans(Gateway& gateway) {
  Slots keep = std::max(TotalSlotDemand(gateway) - OwnShares(gateway), Slots());
  for (auto& [lender, calls] : gateway.m_loan_calls) {
    // While a call is pending, the lender may still grant it after receiving
    // this report.
    if (calls.m_is_call_pending) continue;
    const auto peer = gateway.m_membership.m_table.m_peers.find(lender);
    if (peer == gateway.m_membership.m_table.m_peers.end()) continue;
    const LoanReport report =
        ReportLoans(gateway.m_ledger, lender, keep, calls.m_last_call);
    const LoanReturn message{SelfAsBorrower(gateway), report};
    gateway.m_runtime.m_peers.m_call(
        peer->second.m_member.m_mesh_address, "report_loans", Encode(message),
        kLoanTimeout, [&gateway, lender = lender](const Result<Json>& result) {
          if (!result || result.assume_value() != Json(true)) return;
          RecallLoans(gateway.m_ledger, lender);
        });
  }
}

}  // namespace

void TickLoans(Gateway& gateway, TimePoint now) {
  if (now < gateway.m_next_loan_exchange_at) return;
  gateway.m_next_loan_exchange_at = now + kLoanExchangeInterval;
  ReportAllLoans(gateway);
  BorrowSlots(gateway);
}

std::vector<SlotLoan> OnLoanRequest(Gateway& gateway, const Borrower& borrower,
                                    std::uint64_t call, Slots wanted) {
  const Slots demand = TotalSlotDemand(gateway);
  Slots in_use;
  for (const auto& [endpoint, account] : gateway.m_ledger.m_accounts) {
    in_use += account.m_in_use;
  }
  const Slots reserve = std::max(demand - in_use, Slots());
  return LendSlots(gateway.m_ledger, borrower, call, wanted, reserve);
}

bool OnLoanReport(Gateway& gateway, const Borrower& borrower,
                  const LoanReport& report) {
  ApplyLoanReport(gateway.m_ledger, borrower, report);
  return TotalWaiting(gateway) > Slots();
}

}  // namespace daisyarch
