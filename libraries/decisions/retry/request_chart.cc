#include "decisions/retry/request_chart.h"

namespace daisyarch {

namespace {

bool NeverSent(const RequestContext& context) {
  return context.m_request.m_send_count == 0;
}

// No attempt is counted but the current one, whose sending failed.
bool SentOnce(const RequestContext& context) {
  return context.m_request.m_send_count == 1;
}

bool HasTimeLeft(const RequestContext& context) {
  return context.m_now < context.m_request.m_waiting.m_deadline;
}

bool HasBudget(const RequestContext& context) {
  // Spends from a copy: the guard leaves the budget as it is.
  RetryBudget budget = context.m_budget;
  return SpendRetry(budget);
}

// Sufficient after a failed send: nothing of the attempt reached an endpoint,
// so even a request that is not repeatable may be sent again.
bool MayRetry(const RequestContext& context) {
  return HasTimeLeft(context) && HasBudget(context);
}

bool MayRepeat(const RequestContext& context) {
  return context.m_request.m_repeatable == Repeatable::kYes &&
         MayRetry(context);
}

void CountSend(RequestContext& context) { ++context.m_request.m_send_count; }

void RevertSendCount(RequestContext& context) {
  --context.m_request.m_send_count;
}

void SpendFromBudget(RequestContext& context) { SpendRetry(context.m_budget); }

}  // namespace

ChartBinding<RequestContext> RequestBinding() {
  return {
      {"waiting", "sent", "answered", "refused", "unknown"},
      {"dispatched", "answered", "send_failed", "answer_lost", "expired"},
      {{"never_sent", NeverSent},
       {"sent_once", SentOnce},
       {"may_retry", MayRetry},
       {"may_repeat", MayRepeat}},
      {{"count_send", CountSend},
       {"revert_send_count", RevertSendCount},
       {"spend_retry", SpendFromBudget}},
  };
}

bool IsFinal(RequestState state) {
  return state != RequestState::kWaiting && state != RequestState::kSent;
}

}  // namespace daisyarch
