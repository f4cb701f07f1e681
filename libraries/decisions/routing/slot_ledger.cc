#include "decisions/routing/slot_ledger.h"

#include <algorithm>

#include "base/stable_hash.h"

namespace daisyarch {

namespace {

Slots Sum(const std::map<NodeId, Slots>& parts) {
  Slots sum;
  for (const auto& [node, slots] : parts) sum += slots;
  return sum;
}

// Returns true when both lists name the same incarnation of the node.
bool IsSameIncarnation(const MemberList& before, const MemberList& after,
                       const NodeId& node) {
  const Member* old_member = FindMember(before, node);
  const Member* new_member = FindMember(after, node);
  return old_member != nullptr && new_member != nullptr &&
         old_member->m_incarnation == new_member->m_incarnation;
}

void EraseEndedLoans(std::map<NodeId, Slots>& loans, const MemberList& before,
                     const MemberList& after) {
  for (auto loan = loans.begin(); loan != loans.end();) {
    const bool is_same_incarnation =
        IsSameIncarnation(before, after, loan->first);
    loan = is_same_incarnation ? std::next(loan) : loans.erase(loan);
  }
}

void EraseEndedCalls(std::map<NodeId, std::uint64_t>& calls,
                     const MemberList& before, const MemberList& after) {
  for (auto call = calls.begin(); call != calls.end();) {
    const bool is_same_incarnation =
        IsSameIncarnation(before, after, call->first);
    call = is_same_incarnation ? std::next(call) : calls.erase(call);
  }
}

// Clears the account: the other nodes have already redistributed the slots that
// this node's previous incarnation held.
void ResetAccount(SlotAccount& account) {
  account.m_share = Slots();
  account.m_lent.clear();
  account.m_borrowed.clear();
  account.m_returning.clear();
}

Slots IdleBorrowedSlots(const SlotAccount& account, const NodeId& lender) {
  const auto borrowed = account.m_borrowed.find(lender);
  if (borrowed == account.m_borrowed.end()) return Slots();
  const Slots idle = std::max(FreeSlots(account), Slots());
  return std::min(idle, borrowed->second);
}

void ReturnBorrowedSlots(SlotAccount& account, const NodeId& lender,
                         Slots slots) {
  Slots& borrowed = account.m_borrowed[lender];
  borrowed -= slots;
  if (borrowed == Slots()) account.m_borrowed.erase(lender);
}

// Reduces the recalled slots to the number by which the requests in flight
// exceed the remaining entitlement.
void UpdateReturningSlots(SlotAccount& account, const NodeId& lender) {
  const auto returning = account.m_returning.find(lender);
  if (returning == account.m_returning.end()) return;
  const Slots excess = std::max(Slots() - FreeSlots(account), Slots());
  returning->second = std::min(returning->second, excess);
  if (returning->second == Slots()) account.m_returning.erase(returning);
}

Slots SlotsHeldFrom(const SlotAccount& account, const NodeId& lender) {
  Slots held;
  const auto borrowed = account.m_borrowed.find(lender);
  if (borrowed != account.m_borrowed.end()) held += borrowed->second;
  const auto returning = account.m_returning.find(lender);
  if (returning != account.m_returning.end()) held += returning->second;
  return held;
}

// This node's list may be out of date: a loan to an incarnation that it does
// not name yet would be attributed to the previous incarnation and end with it.
bool IsListed(const SlotLedger& ledger, const Borrower& borrower) {
  const Member* member = FindMember(ledger.m_members, borrower.m_node);
  return member != nullptr && member->m_incarnation == borrower.m_incarnation;
}

}  // namespace

Slots BaseShare(const MemberList& members, const NodeId& node,
                const EndpointId& endpoint, Slots total) {
  const auto count = static_cast<std::int64_t>(members.m_members.size());
  for (std::int64_t index = 0; index < count; ++index) {
    if (members.m_members[static_cast<std::size_t>(index)].m_node != node) {
      continue;
    }
    // The remainder is distributed from a different node for each endpoint, so
    // that no node gets an extra slot at all of them.
    const auto first = static_cast<std::int64_t>(
        StableHash(endpoint.value()) % static_cast<std::uint64_t>(count));
    const std::int64_t rank = (index - first + count) % count;
    const std::int64_t remainder = total.value() % count;
    return Slots(total.value() / count + (rank < remainder ? 1 : 0));
  }
  return Slots();
}

Slots EntitledSlots(const SlotAccount& account) {
  return account.m_share - Sum(account.m_lent) + Sum(account.m_borrowed);
}

Slots FreeSlots(const SlotAccount& account) {
  return EntitledSlots(account) - account.m_in_use;
}

// A node that discovers an endpoint late has used none of its slots: its share
// starts at zero, and GrowShares raises it once all other members have applied
// the present list.
void SetEndpointSlots(SlotLedger& ledger, const EndpointId& endpoint,
                      Slots total) {
  SlotAccount& account = ledger.m_accounts[endpoint];
  if (account.m_total == total) return;
  account.m_total = total;
  account.m_next_share =
      BaseShare(ledger.m_members, ledger.m_node, endpoint, total);
  account.m_share = std::min(account.m_share, account.m_next_share);
}

void AdoptMembers(SlotLedger& ledger, const MemberList& members) {
  if (members.m_version <= ledger.m_members.m_version) return;
  const bool is_same_incarnation =
      IsSameIncarnation(ledger.m_members, members, ledger.m_node);
  for (auto& [endpoint, account] : ledger.m_accounts) {
    EraseEndedLoans(account.m_lent, ledger.m_members, members);
    EraseEndedLoans(account.m_borrowed, ledger.m_members, members);
    EraseEndedLoans(account.m_returning, ledger.m_members, members);
    account.m_next_share =
        BaseShare(members, ledger.m_node, endpoint, account.m_total);
    if (!is_same_incarnation) ResetAccount(account);
    account.m_share = std::min(account.m_share, account.m_next_share);
  }
  EraseEndedCalls(ledger.m_closed_calls, ledger.m_members, members);
  EraseEndedCalls(ledger.m_granted_calls, ledger.m_members, members);
  ledger.m_members = members;
}

bool IsWithinShares(const SlotLedger& ledger) {
  return std::all_of(
      ledger.m_accounts.begin(), ledger.m_accounts.end(),
      [](const auto& entry) { return FreeSlots(entry.second) >= Slots(); });
}

void GrowShares(SlotLedger& ledger) {
  for (auto& [endpoint, account] : ledger.m_accounts) {
    account.m_share = account.m_next_share;
  }
}

bool AcquireSlot(SlotLedger& ledger, const EndpointId& endpoint) {
  const auto account = ledger.m_accounts.find(endpoint);
  if (account == ledger.m_accounts.end()) return false;
  if (FreeSlots(account->second) <= Slots()) return false;
  account->second.m_in_use += Slots(1);
  return true;
}

void ReturnSlot(SlotLedger& ledger, const EndpointId& endpoint) {
  ledger.m_accounts.at(endpoint).m_in_use -= Slots(1);
}

std::vector<SlotLoan> LendSlots(SlotLedger& ledger, const Borrower& borrower,
                                std::uint64_t call, Slots wanted,
                                Slots reserve) {
  std::vector<SlotLoan> loans;
  if (!IsListed(ledger, borrower)) return loans;
  if (call <= ledger.m_closed_calls[borrower.m_node]) return loans;
  ledger.m_granted_calls[borrower.m_node] =
      std::max(ledger.m_granted_calls[borrower.m_node], call);
  Slots idle;
  for (const auto& [endpoint, account] : ledger.m_accounts) {
    idle += std::max(FreeSlots(account), Slots());
  }
  Slots remaining = std::min(wanted, idle - reserve);
  for (auto& [endpoint, account] : ledger.m_accounts) {
    // Borrowed slots are not lent again: the first lender and the last borrower
    // could not end such a chain of loans.
    const Slots own = account.m_share - Sum(account.m_lent);
    const Slots lent = std::min({remaining, FreeSlots(account), own});
    if (lent <= Slots()) continue;
    account.m_lent[borrower.m_node] += lent;
    loans.push_back(SlotLoan{endpoint, lent});
    remaining -= lent;
  }
  return loans;
}

void AddLoans(SlotLedger& ledger, const NodeId& lender,
              const std::vector<SlotLoan>& loans) {
  for (const SlotLoan& loan : loans) {
    const auto account = ledger.m_accounts.find(loan.m_endpoint);
    // The endpoint is not known here yet; the next report omits the loan and
    // thereby returns it.
    if (account == ledger.m_accounts.end()) continue;
    account->second.m_borrowed[lender] += loan.m_slots;
  }
}

LoanReport ReportLoans(SlotLedger& ledger, const NodeId& lender, Slots keep,
                       std::uint64_t closed_call) {
  LoanReport report;
  report.m_closed_call = closed_call;
  for (auto& [endpoint, account] : ledger.m_accounts) {
    const Slots idle = IdleBorrowedSlots(account, lender);
    const Slots kept = std::min(idle, keep);
    keep -= kept;
    if (idle > kept) ReturnBorrowedSlots(account, lender, idle - kept);
    UpdateReturningSlots(account, lender);
    const Slots held = SlotsHeldFrom(account, lender);
    if (held == Slots()) continue;
    report.m_held.push_back(SlotLoan{endpoint, held});
  }
  return report;
}

void RecallLoans(SlotLedger& ledger, const NodeId& lender) {
  for (auto& [endpoint, account] : ledger.m_accounts) {
    const auto borrowed = account.m_borrowed.find(lender);
    if (borrowed == account.m_borrowed.end()) continue;
    account.m_returning[lender] += borrowed->second;
    account.m_borrowed.erase(borrowed);
  }
}

void ApplyLoanReport(SlotLedger& ledger, const Borrower& borrower,
                     const LoanReport& report) {
  if (!IsListed(ledger, borrower)) return;
  std::uint64_t& closed = ledger.m_closed_calls[borrower.m_node];
  // The answer that grants a later call may be in flight; this report does not
  // include that loan.
  if (report.m_closed_call < ledger.m_granted_calls[borrower.m_node]) return;
  if (report.m_closed_call < closed) return;
  closed = report.m_closed_call;
  for (auto& [endpoint, account] : ledger.m_accounts) {
    account.m_lent.erase(borrower.m_node);
  }
  for (const SlotLoan& loan : report.m_held) {
    const auto account = ledger.m_accounts.find(loan.m_endpoint);
    if (account == ledger.m_accounts.end()) continue;
    account->second.m_lent[borrower.m_node] = loan.m_slots;
  }
}

}  // namespace daisyarch
