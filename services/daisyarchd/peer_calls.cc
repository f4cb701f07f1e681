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
Result<Message> DecodeBody(const Call& call) {
  return Decode<Message>(call.m_body, "read peer call", call.m_peer);
}

JobStatusCallback MakeJobStatusCallback(MeshResponder respond) {
  return [respond = std::move(respond)](const Result<JobStatus>& result) {
    if (!result) return respond(result.assume_error());
    respond(Encode(result.assume_value()));
  };
}

void HandleHeartbeat(PeerCalls& calls, const Call& call) {
  const auto heartbeat = DecodeBody<Heartbeat>(call);
  if (!heartbeat) return call.m_respond(heartbeat.assume_error());
  call.m_respond(
      Encode(OnHeartbeat(calls.m_membership, heartbeat.assume_value(),
                         calls.m_configuration.m_current.m_version,
                         calls.m_runtime.m_clock.m_now())));
}

void HandleVoteRemoval(PeerCalls& calls, const Call& call) {
  const auto vote = DecodeBody<RemovalVote>(call);
  if (!vote) return call.m_respond(vote.assume_error());
  const RemovalVote& body = vote.assume_value();
  call.m_respond(Json(VoteForRemoval(calls.m_membership.m_table, body.m_node,
                                     body.m_incarnation, body.m_members,
                                     calls.m_runtime.m_clock.m_now())));
}

void HandleGetConfiguration(PeerCalls& calls, const Call& call) {
  call.m_respond(Encode(calls.m_configuration.m_current));
}

void HandleLendSlots(PeerCalls& calls, const Call& call) {
  const auto request = DecodeBody<LoanRequest>(call);
  if (!request) return call.m_respond(request.assume_error());
  const LoanRequest& body = request.assume_value();
  call.m_respond(Encode(OnLoanRequest(calls.m_gateway, body.m_borrower,
                                      body.m_call, body.m_wanted)));
}

void HandleReportLoans(PeerCalls& calls, const Call& call) {
  const auto message = DecodeBody<LoanReturn>(call);
  if (!message) return call.m_respond(message.assume_error());
  const LoanReturn& body = message.assume_value();
  call.m_respond(
      Json(OnLoanReport(calls.m_gateway, body.m_borrower, body.m_report)));
}

void HandleSubmitJob(PeerCalls& calls, const Call& call) {
  const auto request = DecodeBody<JobRequest>(call);
  if (!request) return call.m_respond(request.assume_error());
  SubmitJobLocally(calls.m_partitions, request.assume_value(),
                   MakeJobStatusCallback(call.m_respond));
}

void HandleCancelJob(PeerCalls& calls, const Call& call) {
  const auto job = DecodeBody<JobId>(call);
  if (!job) return call.m_respond(job.assume_error());
  CancelJobLocally(calls.m_partitions, job.assume_value(),
                   MakeJobStatusCallback(call.m_respond));
}

void HandleFindJob(PeerCalls& calls, const Call& call) {
  const auto job = DecodeBody<JobId>(call);
  if (!job) return call.m_respond(job.assume_error());
  FindJobLocally(calls.m_partitions, job.assume_value(),
                 MakeJobStatusCallback(call.m_respond));
}

using CallHandler = void (*)(PeerCalls&, const Call&);

const std::map<std::string, CallHandler>& CallHandlers() {
  static const auto* table = new std::map<std::string, CallHandler>{
      {"heartbeat", HandleHeartbeat},
      {"vote_removal", HandleVoteRemoval},
      {"get_configuration", HandleGetConfiguration},
      {"lend_slots", HandleLendSlots},
      {"report_loans", HandleReportLoans},
      {"submit_job", HandleSubmitJob},
      {"cancel_job", HandleCancelJob},
      {"find_job", HandleFindJob},
  };
  return *table;
}

}  // namespace

void HandlePeerCall(PeerCalls& calls, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond) {
  const auto handler = CallHandlers().find(method);
  if (handler == CallHandlers().end()) {
    return respond(Error{ErrorCode::kNotFound, "find method", peer,
                         "unknown method \"" + method + "\""});
  }
  handler->second(calls, Call{body, peer, std::move(respond)});
}

}  // namespace daisyarch
