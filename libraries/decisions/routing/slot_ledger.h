#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "decisions/membership/member_list.h"

namespace daisyarch {

/// One node's account of the slots of one endpoint.
struct SlotAccount {
  Slots m_total;       ///< All slots of the endpoint, shared by all nodes.
  Slots m_share;       ///< This node's share, in force now.
  Slots m_next_share;  ///< Its share once all other nodes have applied
                       ///< the member list.
  Slots m_in_use;
  std::map<NodeId, Slots> m_lent;      ///< By borrower.
  std::map<NodeId, Slots> m_borrowed;  ///< By lender.
  /// Borrowed slots that the lender recalled and that are still in use, by
  /// lender.
  std::map<NodeId, Slots> m_returning;
};

/// The slots of all endpoints, as one node accounts for them. The member list
/// assigns each slot to one node, and nodes lend idle slots to each other. A
/// loan ends when the borrower returns it, or when the member list no longer
/// names the borrower's incarnation.
struct SlotLedger {
  NodeId m_node;
  MemberList m_members;
  std::map<EndpointId, SlotAccount> m_accounts;
  /// By borrower: loan calls up to and including this number are closed; a
  /// late one gets no loan.
  std::map<NodeId, std::uint64_t> m_closed_calls;
  /// By borrower: the highest number of a loan call that was granted.
  std::map<NodeId, std::uint64_t> m_granted_calls;
};

/// One incarnation of a node that borrows slots.
struct Borrower {
  NodeId m_node;
  Incarnation m_incarnation;
};

/// Slots of one endpoint that are lent.
struct SlotLoan {
  EndpointId m_endpoint;
  Slots m_slots;
};

/// All loans that a borrower holds from one lender.
struct LoanReport {
  /// Loan calls up to and including this number are closed.
  std::uint64_t m_closed_call = 0;
  std::vector<SlotLoan> m_held;
};

/// Returns the node's share of an endpoint's slots under a member list; zero
/// when the node is not a member. The shares of all members add up to `total`.
Slots BaseShare(const MemberList& members, const NodeId& node,
                const EndpointId& endpoint, Slots total);

/// Returns the entitled slots that are not in use; negative while more are in
/// use than the shrunk share allows.
Slots FreeSlots(const SlotAccount& account);

/// Returns all slots that the node may use at present, whether in use or not.
Slots EntitledSlots(const SlotAccount& account);

/// Adds an endpoint or changes its number of slots.
void SetEndpointSlots(SlotLedger& ledger, const EndpointId& endpoint,
                      Slots total);

/// Adopts a later member list; an older one is ignored. Shares that become
/// smaller shrink at once; shares that become larger grow in GrowShares. Loans
/// to and from incarnations that are no longer listed end.
void AdoptMembers(SlotLedger& ledger, const MemberList& members);

/// Returns true when the node uses and lends no more slots than its shares
/// allow.
bool IsWithinShares(const SlotLedger& ledger);

/// Raises all shares to those of the adopted member list. Call it only once all
/// other members have applied that list.
void GrowShares(SlotLedger& ledger);

/// Returns false when the endpoint is unknown or has no free slot.
bool AcquireSlot(SlotLedger& ledger, const EndpointId& endpoint);
void ReturnSlot(SlotLedger& ledger, const EndpointId& endpoint);

/// Lends up to `wanted` idle slots and keeps at least `reserve` idle. Lends
/// nothing for a closed call or an incarnation that the member list does not
/// name.
std::vector<SlotLoan> LendSlots(SlotLedger& ledger, const Borrower& borrower,
                                std::uint64_t call, Slots wanted,
                                Slots reserve);

/// Adds the loans that a lender granted.
void AddLoans(SlotLedger& ledger, const NodeId& lender,
              const std::vector<SlotLoan>& loans);

/// Returns idle borrowed slots to the lender, except for `keep` in total over
/// all endpoints, and reports the slots still held from the lender.
LoanReport ReportLoans(SlotLedger& ledger, const NodeId& lender, Slots keep,
                       std::uint64_t closed_call);

/// Applies the lender's recall of its slots: slots borrowed from it take no
/// further requests.
void RecallLoans(SlotLedger& ledger, const NodeId& lender);

/// Replaces the loans to a borrower with those it reports. Ignores a report
/// that does not cover the last granted loan call or that is older than one
/// already applied.
void ApplyLoanReport(SlotLedger& ledger, const Borrower& borrower,
                     const LoanReport& report);

}  // namespace daisyarch
