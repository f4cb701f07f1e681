#include <utility>

#include "decisions/fleet/late_start.h"
#include "fleet/leader.h"
#include "fleet/send_order.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

std::string AddressOf(const Leader& leader, const WorkerId& worker) {
  const auto found = leader.m_fleet.m_workers.find(worker);
  if (found == leader.m_fleet.m_workers.end()) return "";
  return found->second.m_listing.m_address;
}

void HandleOutcome(const LeaderPointer& leader, const StartOrder& order,
                   const StartAnswer& answer) {
  if (answer.m_outcome != StartOutcome::kStarted) {
    LogEvent(LogLevel::kWarning, "start_failed",
             {{"job", order.m_task.m_job.value()},
              {"step", std::uint64_t{order.m_task.m_step}},
              {"task", std::uint64_t{order.m_task.m_index}},
              {"run", order.m_run.value()},
              {"worker", order.m_worker.value()},
              {"outcome", answer.m_outcome == StartOutcome::kRefused
                              ? "refused"
                              : "unanswered"}});
  }
  const StartOutcome applied =
      ApplyStartAnswer(leader->m_fleet, order, answer, Now(*leader));
  RecordOpenStartOutcome(leader->m_start_writer.m_open, order, applied,
                         Next(leader->m_writer.m_last_batch));
}

// Returns whether this leader has raised the worker's fencing token since it
// sent an order. A rejection then does not show that another leader exists.
bool HasRaisedToken(Leader& leader, const WorkerId& worker,
                    FencingToken token) {
  const Worker* known = FindWorker(leader.m_fleet, worker);
  return known != nullptr && token < known->m_token;
}

void HandleFencedOrder(Leader& leader, const WorkerId& worker,
                       FencingToken token) {
  if (HasRaisedToken(leader, worker, token)) return;
  leader.m_on_claim_lost("fenced by worker " + worker.value());
}

// Handles the result of a stop or throttle order.
void HandleOrderResult(Leader& leader, const WorkerId& worker,
                       FencingToken token, const Result<void>& result) {
  if (result) return;
  if (result.assume_error().m_code == ErrorCode::kConflict) {
    return HandleFencedOrder(leader, worker, token);
  }
  if (result.assume_error().m_code == ErrorCode::kUnavailable) return;
  ApplyOrderFailure(leader.m_fleet, worker, token);
}

void HandleOutcome(const LeaderPointer& leader, const StopOrder& order,
                   const Result<void>& result) {
  HandleOrderResult(*leader, order.m_worker, order.m_token, result);
}

void HandleOutcome(const LeaderPointer& leader, const ThrottleOrder& order,
                   const Result<void>& result) {
  if (result) {
    ConfirmLimit(leader->m_fleet, order);
  } else {
    ForgetLimit(leader->m_fleet, order);
  }
  HandleOrderResult(*leader, order.m_worker, order.m_token, result);
}

// Logs only the first of several malformed reports of a worker in a row.
void RecordReportResult(Leader& leader, const WorkerId& worker,
                        const Result<WorkerReport>& result) {
  auto& workers = leader.m_malformed_reporters;
  const bool is_malformed =
      !result && result.assume_error().m_code == ErrorCode::kInvalidArgument;
  if (!is_malformed) {
    workers.erase(worker);
    return;
  }
  if (workers.insert(worker).second) {
    LogError("worker_report_malformed", result.assume_error());
  }
}

void HandleReport(Leader& leader, const PollOrder& order,
                  const WorkerReport& report) {
  const TimePoint began_at = Now(leader);
  const Worker* worker = FindWorker(leader.m_fleet, order.m_worker);
  LoopLoad& load = leader.m_load;
  ++load.m_reports;
  load.m_listed_ends += report.m_ended.size();
  const bool is_repeated =
      worker != nullptr && !report.m_ended.empty() &&
      report.m_ended.back().m_number <= worker->m_applied_end;
  if (is_repeated) ++load.m_repeated_reports;
  ApplyReport(leader.m_fleet, order.m_worker, order.m_poll_number,
              order.m_token, report, began_at);
  load.m_report_time += Now(leader) - began_at;
}

PollFailure PollFailureOf(Leader& leader, const PollOrder& order,
                          const Error& error) {
  if (error.m_is_closed_by_peer) return PollFailure::kClosed;
  const bool is_fenced = error.m_code == ErrorCode::kConflict &&
                         HasRaisedToken(leader, order.m_worker, order.m_token);
  return is_fenced ? PollFailure::kFenced : PollFailure::kUnanswered;
}

void HandleOutcome(const LeaderPointer& leader, const PollOrder& order,
                   const Result<WorkerReport>& result) {
  RecordReportResult(*leader, order.m_worker, result);
  if (result) return HandleReport(*leader, order, result.assume_value());
  if (result.assume_error().m_code == ErrorCode::kConflict) {
    HandleFencedOrder(*leader, order.m_worker, order.m_token);
  }
  ApplyPollFailure(leader->m_fleet, order.m_worker, order.m_poll_number,
                   PollFailureOf(*leader, order, result.assume_error()),
                   Now(*leader));
}

void SendDirectly(const LeaderPointer& leader, const std::string& address,
                  Order& order) {
  if (auto* start = std::get_if<StartOrder>(&order)) {
    RecordStartSent(leader->m_fleet, *start, Now(*leader));
  }
  const std::weak_ptr<Leader> weak = leader;
  SendOrderTo(
      leader->m_runtime.m_order_sender, address, order,
      [weak, order = WithoutPayload(order)](const OrderOutcome& outcome) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        HandleOrderOutcome(self, order, outcome);
        RequestSchedulingPass(self);
      });
}

}  // namespace

bool MayStartsLeave(const Leader& leader) {
  const Duration listing_age = Now(leader) - leader.m_fleet.m_listed_at;
  return leader.m_may_start_runs() &&
         AreEvacuationsKnown(leader.m_fleet.m_evacuations, Now(leader)) &&
         listing_age <= leader.m_fleet.m_limits.m_maximum_listing_age;
}

void HandleOrderOutcome(const LeaderPointer& leader, const Order& order,
                        const OrderOutcome& outcome) {
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    HandleOutcome(leader, *start, std::get<StartAnswer>(outcome));
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    HandleOutcome(leader, *stop, std::get<Result<void>>(outcome));
  } else if (const auto* throttle = std::get_if<ThrottleOrder>(&order)) {
    HandleOutcome(leader, *throttle, std::get<Result<void>>(outcome));
  } else if (const auto* poll = std::get_if<PollOrder>(&order)) {
    HandleOutcome(leader, *poll, std::get<Result<WorkerReport>>(outcome));
  }
}

void SendStart(const LeaderPointer& leader, StartOrder start) {
  const std::string address = AddressOf(*leader, start.m_worker);
  Order order = std::move(start);
  if (GiveToRelay(*leader, address, order)) return;
  SendDirectly(leader, address, order);
}

void WithholdStart(const LeaderPointer& leader, const StartOrder& order) {
  const Order unsent = order;
  HandleOrderOutcome(leader, unsent,
                     UnsentOutcome(unsent, "the start may not leave any more"));
}

void SendOrders(const LeaderPointer& leader) {
  Fleet& fleet = leader->m_fleet;
  std::vector<Order> orders = std::move(fleet.m_orders);
  fleet.m_orders.clear();
  if (orders.empty()) return WriteStarts(leader);
  const TimePoint began_at = Now(*leader);
  for (Order& order : orders) {
    ++leader->m_load.m_orders[order.index()];
    if (auto* start = std::get_if<StartOrder>(&order)) {
      leader->m_runtime.m_metrics->IncrementCounter("daisyarch_starts_total",
                                                    "");
      HoldStart(*leader, std::move(*start));
      continue;
    }
    const std::string address = AddressOf(*leader, WorkerOf(order));
    if (!GiveToRelay(*leader, address, order)) {
      SendDirectly(leader, address, order);
    }
  }
  WriteStarts(leader);
  leader->m_load.m_order_time += Now(*leader) - began_at;
}

}  // namespace daisyarch::fleet
