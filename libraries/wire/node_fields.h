#pragma once

#include "decisions/membership/peer_table.h"
#include "decisions/routing/slot_ledger.h"
#include "wire/field_codec.h"

namespace daisyarch {

/// A member's request to another member to agree to the removal of a node.
struct RemovalVote {
  NodeId m_node;
  Incarnation m_incarnation;
  MemberListVersion m_members;
};

/// A node's request to another node for idle slots.
struct LoanRequest {
  Borrower m_borrower;
  std::uint64_t m_call = 0;
  Slots m_wanted;
};

/// A borrower's report to a lender of the slots that it still holds.
struct LoanReturn {
  Borrower m_borrower;
  LoanReport m_report;
};

template <typename Visitor>
void VisitFields(Visitor& visit, Member& member) {
  visit("node", member.m_node);
  visit("incarnation", member.m_incarnation);
  visit("mesh_address", member.m_mesh_address);
  visit("http_address", member.m_http_address);
  visit("failure_domain", member.m_failure_domain);
}

template <typename Visitor>
void VisitFields(Visitor& visit, MemberList& list) {
  visit("version", list.m_version);
  visit("members", list.m_members);
}

// The field names have one letter, because most messages between nodes are
// heartbeats.
template <typename Visitor>
void VisitFields(Visitor& visit, Heartbeat& heartbeat) {
  visit("n", heartbeat.m_node);
  visit("i", heartbeat.m_incarnation);
  visit("m", heartbeat.m_members_version);
  visit("s", heartbeat.m_applied_members_version);
  visit("c", heartbeat.m_configuration_version);
  visit("f", heartbeat.m_idle_slots);
  visit("l", heartbeat.m_holds_lease);
}

template <typename Visitor>
void VisitFields(Visitor& visit, HeartbeatAnswer& answer) {
  visit("i", answer.m_incarnation);
  visit("m", answer.m_members_version);
  visit("c", answer.m_configuration_version);
  visit("a", answer.m_is_acknowledged);
}

template <typename Visitor>
void VisitFields(Visitor& visit, RemovalVote& vote) {
  visit("node", vote.m_node);
  visit("incarnation", vote.m_incarnation);
  visit("members", vote.m_members);
}

template <typename Visitor>
void VisitFields(Visitor& visit, Borrower& borrower) {
  visit("node", borrower.m_node);
  visit("incarnation", borrower.m_incarnation);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LoanRequest& request) {
  visit("borrower", request.m_borrower);
  visit("call", request.m_call);
  visit("wanted", request.m_wanted);
}

template <typename Visitor>
void VisitFields(Visitor& visit, SlotLoan& loan) {
  visit("endpoint", loan.m_endpoint);
  visit("slots", loan.m_slots);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LoanReport& report) {
  visit("closed_call", report.m_closed_call);
  visit("held", report.m_held);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LoanReturn& message) {
  visit("borrower", message.m_borrower);
  visit("report", message.m_report);
}

}  // namespace daisyarch
