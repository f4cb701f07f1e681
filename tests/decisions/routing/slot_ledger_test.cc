#include "decisions/routing/slot_ledger.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

const EndpointId kEndpoint("e");
constexpr Slots kTotal{8};
const Borrower kBorrower{NodeId("b"), Incarnation(1)};

MemberList MakeMembers(std::uint64_t version,
                       const std::vector<std::string>& nodes,
                       std::uint64_t incarnation) {
  MemberList list;
  list.m_version = MemberListVersion(version);
  for (const std::string& node : nodes) {
    list.m_members.push_back(
        Member{NodeId(node), Incarnation(incarnation), "", "", {}});
  }
  return list;
}

SlotLedger MakeLedger(const std::string& node, const MemberList& members) {
  SlotLedger ledger;
  ledger.m_node = NodeId(node);
  AdoptMembers(ledger, members);
  SetEndpointSlots(ledger, kEndpoint, kTotal);
  GrowShares(ledger);
  return ledger;
}

Slots CountFreeSlots(const SlotLedger& ledger) {
  return FreeSlots(ledger.m_accounts.at(kEndpoint));
}

}  // namespace

TEST_CASE("Base shares add up to the endpoint's slots") {
  for (std::uint64_t count = 1; count <= 12; ++count) {
    std::vector<std::string> nodes;
    for (std::uint64_t index = 0; index < count; ++index) {
      nodes.push_back("n" + std::to_string(100 + index));
    }
    const MemberList members = MakeMembers(1, nodes, 1);
    for (const char* endpoint : {"e1", "e2", "e3"}) {
      Slots sum;
      for (const std::string& node : nodes) {
        sum += BaseShare(members, NodeId(node), EndpointId(endpoint), kTotal);
      }
      CHECK(sum == kTotal);
    }
  }
}

TEST_CASE("A share shrinks at once and grows only when GrowShares is called") {
  const MemberList one = MakeMembers(1, {"a"}, 1);
  const MemberList two = MakeMembers(2, {"a", "b"}, 1);
  SlotLedger ledger = MakeLedger("a", one);
  for (int index = 0; index < 6; ++index) {
    REQUIRE(AcquireSlot(ledger, kEndpoint));
  }
  AdoptMembers(ledger, two);
  CHECK(!IsWithinShares(ledger));
  CHECK(!AcquireSlot(ledger, kEndpoint));
  ReturnSlot(ledger, kEndpoint);
  ReturnSlot(ledger, kEndpoint);
  CHECK(IsWithinShares(ledger));
  AdoptMembers(ledger, MakeMembers(3, {"a"}, 1));
  CHECK(CountFreeSlots(ledger) == Slots(0));
  GrowShares(ledger);
  CHECK(CountFreeSlots(ledger) == Slots(4));
}

TEST_CASE("A loan whose answer was lost is returned by the next report") {
  const MemberList two = MakeMembers(1, {"a", "b"}, 1);
  SlotLedger lender = MakeLedger("a", two);
  SlotLedger borrower = MakeLedger("b", two);
  REQUIRE(LendSlots(lender, kBorrower, 1, Slots(3), Slots()).size() == 1);
  CHECK(CountFreeSlots(lender) == Slots(1));
  ApplyLoanReport(lender, kBorrower,
                  ReportLoans(borrower, NodeId("a"), Slots(8), 1));
  CHECK(CountFreeSlots(lender) == Slots(4));
  // A loan request that arrives after this report gets nothing: its call is
  // closed.
  CHECK(LendSlots(lender, kBorrower, 1, Slots(3), Slots()).empty());
}

TEST_CASE("A report sent before a loan was granted does not end the loan") {
  const MemberList two = MakeMembers(1, {"a", "b"}, 1);
  SlotLedger lender = MakeLedger("a", two);
  SlotLedger borrower = MakeLedger("b", two);
  const LoanReport early = ReportLoans(borrower, NodeId("a"), Slots(8), 0);
  AddLoans(borrower, NodeId("a"),
           LendSlots(lender, kBorrower, 1, Slots(3), Slots()));
  ApplyLoanReport(lender, kBorrower, early);
  CHECK(CountFreeSlots(lender) + CountFreeSlots(borrower) == kTotal);
}

TEST_CASE("A recalled loan is returned as its requests complete") {
  const MemberList two = MakeMembers(1, {"a", "b"}, 1);
  SlotLedger lender = MakeLedger("a", two);
  SlotLedger borrower = MakeLedger("b", two);
  AddLoans(borrower, NodeId("a"),
           LendSlots(lender, kBorrower, 1, Slots(4), Slots()));
  for (int index = 0; index < 8; ++index) {
    REQUIRE(AcquireSlot(borrower, kEndpoint));
  }
  RecallLoans(borrower, NodeId("a"));
  CHECK(!AcquireSlot(borrower, kEndpoint));
  ReturnSlot(borrower, kEndpoint);
  ApplyLoanReport(lender, kBorrower,
                  ReportLoans(borrower, NodeId("a"), Slots(8), 1));
  CHECK(CountFreeSlots(lender) == Slots(1));
  CHECK(CountFreeSlots(borrower) <= Slots(0));
}

TEST_CASE("An incarnation missing from the lender's member list gets no loan") {
  SlotLedger lender = MakeLedger("a", MakeMembers(1, {"a", "b"}, 1));
  const Borrower next_incarnation{NodeId("b"), Incarnation(2)};
  CHECK(LendSlots(lender, next_incarnation, 1, Slots(2), Slots()).empty());
}

TEST_CASE("Loans to a replaced incarnation end") {
  const MemberList two = MakeMembers(1, {"a", "b"}, 1);
  SlotLedger lender = MakeLedger("a", two);
  REQUIRE(!LendSlots(lender, kBorrower, 1, Slots(2), Slots()).empty());
  MemberList next = two;
  next.m_version = MemberListVersion(2);
  next.m_members[1].m_incarnation = Incarnation(2);
  AdoptMembers(lender, next);
  CHECK(CountFreeSlots(lender) == Slots(4));
}

}  // namespace daisyarch
