#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "decisions/membership/member_list.h"

namespace daisyarch {

/// Slots of one endpoint, as one node may use them.
struct SlotAccount {
  Slots m_total;       ///< Of the endpoint, shared by all nodes.
  Slots m_share;       ///< This node's own, in force now.
  Slots m_next_share;  ///< Its own once every other node has settled.
  Slots m_in_use;
  std::map<NodeId, Slots> m_lent;
  std::map<NodeId, Slots> m_borrowed;
  /// Borrowed, asked back by the lender, and still in use.
  std::map<NodeId, Slots> m_returning;
};

/// The slots of all endpoints. Each slot belongs to one node by the member
/// list; nodes lend idle ones to each other. A loan ends when the borrower
/// returns it, or when the member list drops the borrower's run.
struct SlotLedger {
  NodeId m_node;
  MemberList m_members;
  std::map<EndpointId, SlotAccount> m_accounts;
  /// Loan calls through this number of each borrower are over.
  std::map<NodeId, std::uint64_t> m_closed_calls;
  /// The last loan call granted to each borrower.
  std::map<NodeId, std::uint64_t> m_granted_calls;
};

/// One run of a node that borrows.
struct Borrower {
  NodeId m_node;
  Incarnation m_incarnation;
};

/// Slots of one endpoint that change hands.
struct SlotLoan {
  EndpointId m_endpoint;
  Slots m_slots;
};

/// Everything that a borrower holds of one lender.
struct LoanReport {
  std::uint64_t m_closed_call = 0;  ///< Calls through here are over.
  std::vector<SlotLoan> m_held;
};

/// The node's own slots of an endpoint under a member list; zero when it is
/// not a member. Over all members the parts add up to `total`.
Slots BaseShare(const MemberList& members, const NodeId& node,
                const EndpointId& endpoint, Slots total);

/// Slots that the node may still use; negative while a share shrinks.
Slots FreeSlots(const SlotAccount& account);

/// All that the node may use at present, whether in use or not.
Slots EntitledSlots(const SlotAccount& account);

/// Adds an endpoint or changes its slots.
void SetEndpointSlots(SlotLedger& ledger, const EndpointId& endpoint,
                      Slots total);

/// Takes a later member list over: shares that shrink do so at once, shares
/// that grow wait for GrowShares. Loans with nodes whose run is no
/// longer listed end.
void AdoptMembers(SlotLedger& ledger, const MemberList& members);

/// True when the node uses and lends no more than its present shares.
bool IsWithinShares(const SlotLedger& ledger);

/// Every other member has settled under the present list: shares grow.
void GrowShares(SlotLedger& ledger);

bool TakeSlot(SlotLedger& ledger, const EndpointId& endpoint);
void ReturnSlot(SlotLedger& ledger, const EndpointId& endpoint);

/// Lends up to `wanted` idle slots, keeping `reserve` of them; nothing for a
/// call that is closed or a run that the member list does not name.
std::vector<SlotLoan> LendSlots(SlotLedger& ledger, const Borrower& borrower,
                                std::uint64_t call, Slots wanted,
                                Slots reserve);

/// Adds what a lender granted.
void AddLoans(SlotLedger& ledger, const NodeId& lender,
              const std::vector<SlotLoan>& loans);

/// Gives back loans that are idle beyond `keep` slots in all, then tells
/// what is still held of the lender.
LoanReport ReportLoans(SlotLedger& ledger, const NodeId& lender, Slots keep,
                       std::uint64_t closed_call);

/// The lender needs its slots: those on loan take no further requests.
void RecallLoans(SlotLedger& ledger, const NodeId& lender);

/// Takes a borrower's report over, unless a loan was granted since.
void ApplyLoanReport(SlotLedger& ledger, const Borrower& borrower,
                     const LoanReport& report);

}  // namespace daisyarch
