#include "peer_calls.h"

#include <map>
#include <utility>

#include "job_calls.h"
#include "job_status_fields.h"
#include "slot_loans.h"
#include "wire/configuration_fields.h"
#include "wire/node_fields.h"

namespace daisyarch {

namespace {

struct Call {
  const Json& m_body;
  const std::string& m_peer;
  MeshResponder m_respond;
};

template <typename Message>
Result<Message> Read(const Call& call) {
  return Decode<Message>(call.m_body, "read peer call", call.m_peer);
}

JobAnswer AnswerJob(MeshResponder respond) {
  return [respond = std::move(respond)](const Result<JobStatus>& result) {
    if (!result) return respond(result.assume_error());
    respond(Encode(result.assume_value()));
  };
}

void HeartbeatCall(PeerCalls& calls, const Call& call) {
  const auto heartbeat = Read<Heartbeat>(call);
  if (!heartbeat) return call.m_respond(heartbeat.assume_error());
  call.m_respond(
      Encode(OnHeartbeat(calls.m_membership, heartbeat.assume_value(),
                         calls.m_configuration.m_current.m_version,
                         calls.m_runtime.m_clock.m_now())));
}

void VoteCall(PeerCalls& calls, const Call& call) {
  const auto vote = Read<RemovalVote>(call);
  if (!vote) return call.m_respond(vote.assume_error());
  const RemovalVote& body = vote.assume_value();
  call.m_respond(Json(VoteForRemoval(calls.m_membership.m_table, body.m_node,
                                     body.m_incarnation, body.m_members,
                                     calls.m_runtime.m_clock.m_now())));
}

void ConfigurationCall(PeerCalls& calls, const Call& call) {
  call.m_respond(Encode(calls.m_configuration.m_current));
}

void LendCall(PeerCalls& calls, const Call& call) {
  const auto request = Read<LoanRequest>(call);
  if (!request) return call.m_respond(request.assume_error());
  const LoanRequest& body = request.assume_value();
  call.m_respond(Encode(OnLoanRequest(calls.m_gateway, body.m_borrower,
                                      body.m_call, body.m_wanted)));
}

void ReportCall(PeerCalls& calls, const Call& call) {
  const auto message = Read<LoanReturn>(call);
  if (!message) return call.m_respond(message.assume_error());
  const LoanReturn& body = message.assume_value();
  call.m_respond(
      Json(OnLoanReport(calls.m_gateway, body.m_borrower, body.m_report)));
}

void SubmitCall(PeerCalls& calls, const Call& call) {
  const auto request = Read<JobRequest>(call);
  if (!request) return call.m_respond(request.assume_error());
  SubmitJobHere(calls.m_partitions, request.assume_value(),
                AnswerJob(call.m_respond));
}

void CancelCall(PeerCalls& calls, const Call& call) {
  const auto job = Read<JobId>(call);
  if (!job) return call.m_respond(job.assume_error());
  CancelJobHere(calls.m_partitions, job.assume_value(),
                AnswerJob(call.m_respond));
}

void FindCall(PeerCalls& calls, const Call& call) {
  const auto job = Read<JobId>(call);
  if (!job) return call.m_respond(job.assume_error());
  FindJobHere(calls.m_partitions, job.assume_value(),
              AnswerJob(call.m_respond));
}

using CallFunction = void (*)(PeerCalls&, const Call&);

const std::map<std::string, CallFunction>& CallTable() {
  static const auto* table = new std::map<std::string, CallFunction>{
      {"heartbeat", HeartbeatCall},
      {"vote_removal", VoteCall},
      {"get_configuration", ConfigurationCall},
      {"lend_slots", LendCall},
      {"report_loans", ReportCall},
      {"submit_job", SubmitCall},
      {"cancel_job", CancelCall},
      {"find_job", FindCall},
  };
  return *table;
}

}  // namespace

void HandlePeerCall(PeerCalls& calls, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond) {
  const auto function = CallTable().find(method);
  if (function == CallTable().end()) {
    return respond(Error{ErrorCode::kNotFound, "find method", peer,
                         "no method \"" + method + "\""});
  }
  function->second(calls, Call{body, peer, std::move(respond)});
}

}  // namespace daisyarch
