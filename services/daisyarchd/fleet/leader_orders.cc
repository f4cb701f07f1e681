#include <utility>

#include "fleet/leader.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

std::string AddressOf(const Leader& leader, const WorkerId& worker) {
  const auto found = leader.m_fleet.m_workers.find(worker);
  if (found == leader.m_fleet.m_workers.end()) return "";
  return found->second.m_listing.m_address;
}

void SendOrder(const LeaderPointer& leader, const StartOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_metrics->IncrementCounter("daisyarch_starts_total", "");
  leader->m_runtime.m_order_sender.m_start(
      AddressOf(*leader, order.m_worker), order,
      [weak, order](StartOutcome outcome) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (outcome != StartOutcome::kStarted) {
          LogEvent(
              LogLevel::kWarning, "start_failed",
              {{"job", order.m_task.m_job.value()},
               {"step", std::uint64_t{order.m_task.m_step}},
               {"task", std::uint64_t{order.m_task.m_index}},
               {"run", order.m_run.value()},
               {"worker", order.m_worker.value()},
               {"outcome",
                outcome == StartOutcome::kRefused ? "refused" : "unanswered"}});
        }
        ApplyStartOutcome(self->m_fleet, order, outcome, Now(*self));
        RequestSchedulingPass(self);
      });
}

// If this leader has raised the worker's fencing token since it sent the order,
// the rejection does not show that another leader exists.
void HandleFencedOrder(Leader& leader, const WorkerId& worker,
                       FencingToken token) {
  const Worker* known = FindWorker(leader.m_fleet, worker);
  if (known != nullptr && token < known->m_token) return;
  leader.m_on_claim_lost("fenced by worker " + worker.value());
}

// Handles the result of a stop or throttle order.
void HandleOrderResult(const std::weak_ptr<Leader>& weak,
                       const WorkerId& worker, FencingToken token,
                       const Result<void>& result) {
  const LeaderPointer self = weak.lock();
  if (!self || result) return;
  if (result.assume_error().m_code == ErrorCode::kConflict) {
    return HandleFencedOrder(*self, worker, token);
  }
  if (result.assume_error().m_code == ErrorCode::kUnavailable) return;
  ApplyOrderFailure(self->m_fleet, worker, token);
  RequestSchedulingPass(self);
}

void SendOrder(const LeaderPointer& leader, const StopOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_order_sender.m_stop(
      AddressOf(*leader, order.m_worker), order,
      [weak, worker = order.m_worker,
       token = order.m_token](const Result<void>& result) {
        HandleOrderResult(weak, worker, token, result);
      });
}

void SendOrder(const LeaderPointer& leader, const ThrottleOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_order_sender.m_throttle(
      AddressOf(*leader, order.m_worker), order,
      [weak, order](const Result<void>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (result) {
          ConfirmLimit(self->m_fleet, order);
        } else {
          ForgetLimit(self->m_fleet, order);
        }
        HandleOrderResult(weak, order.m_worker, order.m_token, result);
      });
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

void SendOrder(const LeaderPointer& leader, const PollOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_order_sender.m_poll(
      AddressOf(*leader, order.m_worker), order,
      [weak, order](Result<WorkerReport> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        RecordReportResult(*self, order.m_worker, result);
        if (!result) {
          if (result.assume_error().m_code == ErrorCode::kConflict) {
            HandleFencedOrder(*self, order.m_worker, order.m_token);
          }
          ApplyPollFailure(self->m_fleet, order.m_worker, order.m_poll_number,
                           result.assume_error().m_is_closed_by_peer
                               ? PollFailure::kClosed
                               : PollFailure::kUnanswered,
                           Now(*self));
        } else {
          HandleReport(*self, order, result.assume_value());
        }
        RequestSchedulingPass(self);
      });
}

}  // namespace

void SendOrders(const LeaderPointer& leader) {
  Fleet& fleet = leader->m_fleet;
  const std::vector<Order> orders = std::move(fleet.m_orders);
  fleet.m_orders.clear();
  if (orders.empty()) return;
  const TimePoint began_at = Now(*leader);
  for (const Order& order : orders) {
    ++leader->m_load.m_orders[order.index()];
    std::visit(
        [&](const auto& concrete_order) { SendOrder(leader, concrete_order); },
        order);
  }
  leader->m_load.m_order_time += Now(*leader) - began_at;
}

}  // namespace daisyarch::fleet
