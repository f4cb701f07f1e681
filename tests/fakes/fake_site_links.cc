#include "fakes/fake_site_links.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "wire/relay_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);
constexpr Duration kWatchTimeoutMargin = std::chrono::milliseconds(500);
constexpr Duration kLateRemovalDelay = std::chrono::seconds(4);
constexpr Duration kStoreDownAnswerTime = std::chrono::milliseconds(40);

Error StoreDownError() {
  return Error{ErrorCode::kUnavailable, "call store", "store", "down"};
}

Error NoAnswerError(const std::string& peer) {
  return Error{ErrorCode::kOutcomeUnknown, "call", peer, "no answer"};
}

Error ClosedError(const std::string& peer) {
  return Error{ErrorCode::kOutcomeUnknown, "call", peer, "closed", true};
}

bool IsStoreUnreachable(const FakeSite& site, const FakeSiteNode& node) {
  const TimePoint now = site.m_loop.m_now;
  return now < site.m_faults.m_store_down_until ||
         now < node.m_store_unreachable_until;
}

// Handles an event at the node that was due at `due`, unless it was killed.
void HandleAtNode(FakeSite& site, FakeSiteNode& node, TimePoint due,
                  std::function<void()> run) {
  HandleInTurn(site.m_loop, node.m_loop, due, [&node, run = std::move(run)] {
    if (node.m_is_alive) run();
  });
}

// Delivers an answer that arrives after `delay` to the node's loop. An answer
// that the loop would handle later than the call's deadline counts as none.
template <typename Value>
void Deliver(FakeSite& site, FakeSiteNode& node, Duration delay,
             TimePoint deadline, const std::function<void(Value)>& on_answer,
             const Value& answer, const Value& no_answer) {
  const TimePoint at = HandledAt(node, site.m_loop.m_now + delay);
  if (at <= deadline) {
    return RunAtNode(site, node, at - site.m_loop.m_now,
                     [&site, &node, on_answer, answer, no_answer, deadline] {
                       if (site.m_loop.m_now <= deadline)
                         return on_answer(answer);
                       // Its timer expired while the loop was busy.
                       HandleAtNode(
                           site, node, deadline,
                           [on_answer, no_answer] { on_answer(no_answer); });
                     });
  }
  const TimePoint given_up_at = HandledAt(node, deadline);
  RunAtNode(site, node, given_up_at - site.m_loop.m_now,
            [on_answer, no_answer] { on_answer(no_answer); });
}

// Tells the node after `delay` that its call has failed.
template <typename Value>
void DeliverError(FakeSite& site, FakeSiteNode& node, Duration delay,
                  const std::function<void(Value)>& on_answer,
                  const Value& error) {
  Deliver<Value>(site, node, delay, TimePoint::max(), on_answer, error, error);
}

Duration DrawStoreDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::milliseconds(1),
                      std::chrono::milliseconds(5));
}

/// Applies a call to the store model and returns the answer to the node, with
/// the faults of the site.
template <typename Value>
void CallStore(FakeSite& site, FakeSiteNode& node,
               StoreCallback<Value> on_answer,
               std::function<Result<Value>()> effect,
               Duration timeout = kStoreTimeout) {
  using Answer = Result<Value>;
  const Answer no_answer = NoAnswerError("store");
  if (IsStoreUnreachable(site, node) && site.m_faults.m_is_store_unresponsive) {
    return DeliverError(site, node, timeout, on_answer, no_answer);
  }
  if (IsStoreUnreachable(site, node)) {
    return DeliverError<Answer>(site, node, DrawStoreDelay(site), on_answer,
                                StoreDownError());
  }
  if (Chance(site.m_loop, site.m_faults.m_late_effect_probability)) {
    RunAfter(site.m_loop,
             DelayBetween(site.m_loop, std::chrono::seconds(1),
                          std::chrono::seconds(6)),
             [effect] { static_cast<void>(effect()); });
    return DeliverError(site, node, timeout, on_answer, no_answer);
  }
  const bool is_lost =
      Chance(site.m_loop, site.m_faults.m_answer_loss_probability);
  const TimePoint deadline = site.m_loop.m_now + timeout;
  RunAfter(site.m_loop, DrawStoreDelay(site),
           [&site, &node, on_answer, effect, is_lost, deadline, no_answer] {
             const Answer result = effect();
             if (is_lost) {
               return DeliverError(site, node, deadline - site.m_loop.m_now,
                                   on_answer, no_answer);
             }
             Deliver<Answer>(site, node, DrawStoreDelay(site), deadline,
                             on_answer, result, no_answer);
           });
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return !prefix.empty() && key.compare(0, prefix.size(), prefix) == 0;
}

// Returns whether the faults of the site lose this write.
bool IsWriteLost(const FakeSite& site, const StoreTransaction& transaction) {
  return std::any_of(transaction.m_puts.begin(), transaction.m_puts.end(),
                     [&site](const StorePut& put) {
                       return HasPrefix(put.m_key,
                                        site.m_faults.m_lost_write_prefix);
                     });
}

// Returns whether the store rejects this write as malformed.
bool IsWriteRejected(const FakeSite& site,
                     const StoreTransaction& transaction) {
  const SiteFaults& faults = site.m_faults;
  return std::any_of(transaction.m_puts.begin(), transaction.m_puts.end(),
                     [&](const StorePut& put) {
                       const bool is_too_large =
                           faults.m_maximum_value_bytes > 0 &&
                           put.m_value.size() > faults.m_maximum_value_bytes;
                       return is_too_large ||
                              HasPrefix(put.m_key,
                                        faults.m_rejected_write_prefix);
                     });
}

// Returns whether the faults of the site delay this write.
bool IsRemovalLate(const FakeSite& site, const StoreTransaction& transaction) {
  return std::any_of(
      transaction.m_removals.begin(), transaction.m_removals.end(),
      [&site](const std::string& key) {
        return HasPrefix(key, site.m_faults.m_late_removal_prefix);
      });
}

/// Answers a watch once there are changes, or at `until`.
void WaitForChanges(FakeSite& site, FakeSiteNode& node,
                    const std::string& prefix, StoreRevision after,
                    TimePoint until,
                    const StoreCallback<StoreChanges>& answer) {
  using Answer = Result<StoreChanges>;
  const Answer no_answer = NoAnswerError("store");
  const TimePoint deadline = until + kWatchTimeoutMargin;
  if (IsStoreUnreachable(site, node)) {
    return DeliverError<Answer>(site, node, kStoreDownAnswerTime, answer,
                                StoreDownError());
  }
  if (site.m_loop.m_now < site.m_faults.m_watches_unanswered_until) {
    return DeliverError(site, node, deadline - site.m_loop.m_now, answer,
                        no_answer);
  }
  const Answer changes = ChangesAfter(site.m_store, prefix, after);
  const bool is_over = !changes || !changes.assume_value().m_changes.empty() ||
                       site.m_loop.m_now >= until;
  if (is_over) {
    return Deliver(site, node, DrawStoreDelay(site), deadline, answer, changes,
                   no_answer);
  }
  constexpr Duration kPollInterval = std::chrono::milliseconds(3);
  RunAtNode(site, node, kPollInterval,
            [&site, &node, prefix, after, until, answer] {
              WaitForChanges(site, node, prefix, after, until, answer);
            });
}

/// What happens to an order and to its answer on the network.
enum class OrderDelivery {
  kUnreachable,
  kClosed,
  kLate,
  kAnswerLost,
  kNormal,
};

OrderDelivery DrawOrderDelivery(FakeSite& site, const FakeSiteNode& node,
                                const FleetWorkerModel& worker) {
  if (node.m_unreachable_workers.count(worker.m_listing.m_worker) > 0) {
    return OrderDelivery::kUnreachable;
  }
  if (!worker.m_is_up) {
    return worker.m_is_host_up ? OrderDelivery::kClosed
                               : OrderDelivery::kUnreachable;
  }
  if (Chance(site.m_loop, site.m_faults.m_late_order_probability))
    return OrderDelivery::kLate;
  if (Chance(site.m_loop, site.m_faults.m_order_answer_loss_probability))
    return OrderDelivery::kAnswerLost;
  return OrderDelivery::kNormal;
}

Duration DrawOrderDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::microseconds(300),
                      std::chrono::microseconds(4000));
}

Duration DrawLateOrderDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::seconds(2),
                      std::chrono::seconds(12));
}

// Returns whether an order that was sent to this incarnation takes effect.
bool Arrives(const FakeSite& site, const FleetWorkerModel& worker,
             Incarnation incarnation) {
  if (!worker.m_is_up) return false;
  return site.m_faults.m_do_orders_outlast_restarts ||
         worker.m_listing.m_incarnation == incarnation;
}

template <typename Order>
auto AnswerTo(FleetWorkerModel& worker, const Order& order, TimePoint now) {
  return Receive(worker, order, now);
}

StartAnswer AnswerTo(FleetWorkerModel& worker, const StartOrder& order,
                     TimePoint now) {
  return {Receive(worker, order, now), ClockOf(worker, now)};
}

template <typename Order, typename Answer>
void SendToWorker(FakeSite& site, FakeSiteNode& node, const Order& order,
                  std::function<void(Answer)> on_answer, Answer no_answer,
                  Answer closed, Duration timeout = kOrderTimeout) {
  const auto found = site.m_workers.find(order.m_worker);
  if (found == site.m_workers.end()) {
    return DeliverError(site, node, timeout, on_answer, no_answer);
  }
  FleetWorkerModel& worker = *found->second;
  const OrderDelivery delivery = DrawOrderDelivery(site, node, worker);
  // Each order has a delay of its own, as on separate connections, so orders
  // may overtake each other.
  Duration delay = DrawOrderDelay(site);
  if (delivery == OrderDelivery::kLate) delay = DrawLateOrderDelay(site);
  if (delivery == OrderDelivery::kClosed) {
    return DeliverError(site, node, delay, on_answer, closed);
  }
  if (delivery != OrderDelivery::kNormal) {
    DeliverError(site, node, timeout, on_answer, no_answer);
  }
  if (delivery == OrderDelivery::kUnreachable) return;
  const TimePoint deadline = site.m_loop.m_now + timeout;
  const Incarnation incarnation = worker.m_listing.m_incarnation;
  RunAfter(site.m_loop, delay,
           [&site, &node, &worker, order, on_answer, no_answer, delivery,
            deadline, incarnation] {
             const TimePoint now = site.m_loop.m_now;
             const bool is_normal = delivery == OrderDelivery::kNormal;
             if (!Arrives(site, worker, incarnation)) {
               if (!is_normal) return;
               return DeliverError(site, node, deadline - now, on_answer,
                                   no_answer);
             }
             const Answer answer = AnswerTo(worker, order, now);
             if (!is_normal) return;
             Deliver(site, node, DrawOrderDelay(site), deadline, on_answer,
                     answer, no_answer);
           });
}

/// Answers a poll that has arrived as soon as the worker has an ended run to
/// report, or at `until`. A worker that restarts meanwhile does not answer.
void AnswerPoll(FakeSite& site, FakeSiteNode& node, FleetWorkerModel& worker,
                Incarnation incarnation,
                const std::function<void(Result<WorkerReport>)>& on_answer,
                TimePoint until, TimePoint deadline) {
  using Answer = Result<WorkerReport>;
  const WorkerId& id = worker.m_listing.m_worker;
  const TimePoint now = site.m_loop.m_now;
  const bool is_lost = !worker.m_is_up ||
                       worker.m_listing.m_incarnation != incarnation ||
                       node.m_unreachable_workers.count(id) > 0;
  const bool is_closed = !worker.m_is_up && worker.m_is_host_up &&
                         node.m_unreachable_workers.count(id) == 0;
  if (is_closed) {
    return DeliverError<Answer>(site, node, DrawOrderDelay(site), on_answer,
                                ClosedError(id.value()));
  }
  if (is_lost) {
    return DeliverError<Answer>(site, node, deadline - now, on_answer,
                                NoAnswerError(id.value()));
  }
  Advance(worker, now);
  if (!worker.m_ended.empty() || now >= until) {
    return Deliver<Answer>(site, node, DrawOrderDelay(site), deadline,
                           on_answer, ReportOf(worker, now),
                           NoAnswerError(id.value()));
  }
  constexpr Duration kStep = std::chrono::milliseconds(10);
  RunAfter(site.m_loop, kStep,
           [&site, &node, &worker, incarnation, on_answer, until, deadline] {
             AnswerPoll(site, node, worker, incarnation, on_answer, until,
                        deadline);
           });
}

/// Sends a poll. It takes effect when it arrives, and a worker without ended
/// runs to report holds back its answer.
void SendPoll(FakeSite& site, FakeSiteNode& node, const PollOrder& order,
              const std::function<void(Result<WorkerReport>)>& on_answer) {
  using Answer = Result<WorkerReport>;
  const Answer no_answer = NoAnswerError(order.m_worker.value());
  const Duration timeout = order.m_wait + kOrderTimeout;
  const auto found = site.m_workers.find(order.m_worker);
  if (found == site.m_workers.end()) {
    return DeliverError(site, node, timeout, on_answer, no_answer);
  }
  FleetWorkerModel& worker = *found->second;
  const OrderDelivery delivery = DrawOrderDelivery(site, node, worker);
  if (delivery == OrderDelivery::kClosed) {
    return DeliverError<Answer>(site, node, DrawOrderDelay(site), on_answer,
                                ClosedError(order.m_worker.value()));
  }
  const bool is_normal = delivery == OrderDelivery::kNormal;
  if (!is_normal) DeliverError(site, node, timeout, on_answer, no_answer);
  if (delivery == OrderDelivery::kUnreachable) return;
  const TimePoint until = site.m_loop.m_now + order.m_wait;
  const TimePoint deadline = site.m_loop.m_now + timeout;
  const Duration delay = delivery == OrderDelivery::kLate
                             ? DrawLateOrderDelay(site)
                             : DrawOrderDelay(site);
  const Incarnation incarnation = worker.m_listing.m_incarnation;
  RunAfter(
      site.m_loop, delay,
      [&site, &node, &worker, order, on_answer, until, deadline, is_normal,
       no_answer, incarnation] {
        const bool arrives = Arrives(site, worker, incarnation);
        const Answer arrived =
            arrives ? Receive(worker, order, site.m_loop.m_now) : no_answer;
        if (!is_normal) return;
        if (arrives && !arrived) {
          return Deliver(site, node, DrawOrderDelay(site), deadline, on_answer,
                         arrived, no_answer);
        }
        const Incarnation answering =
            arrives ? worker.m_listing.m_incarnation : incarnation;
        AnswerPoll(site, node, worker, answering, on_answer, until, deadline);
      });
}

FakeSiteNode* FindNode(FakeSite& site, const std::string& address) {
  for (const auto& node : site.m_nodes) {
    if (node->m_is_alive &&
        ToString(node->m_node->m_runtime.m_settings.m_relay_address) ==
            address) {
      return node.get();
    }
  }
  return nullptr;
}

void CountOrders(FakeSite& site, const std::string& call) {
  const auto read = ReadRelayCall(call, "relay");
  if (read) site.m_relayed_orders += read.assume_value().m_orders.size();
}

bool CanTalk(const FakeSite& site, const FakeSiteNode& one,
             const FakeSiteNode& other) {
  return site.m_loop.m_now >= one.m_nodes_unreachable_until &&
         site.m_loop.m_now >= other.m_nodes_unreachable_until;
}

}  // namespace

TimePoint HandledAt(const FakeSiteNode& node, TimePoint at) {
  return std::max(at + node.m_loop_delay, node.m_backlog_until);
}

void RunAtNode(FakeSite& site, FakeSiteNode& node, Duration delay,
               std::function<void()> run) {
  RunAfter(site.m_loop, delay, [&site, &node, run = std::move(run)] {
    HandleAtNode(site, node, site.m_loop.m_now, run);
  });
}

Store MakeStore(FakeSite& site, FakeSiteNode& node) {
  Store store;
  store.m_read = [&site, &node](const std::string& key, ReadFreshness,
                                auto on_answer) {
    CallStore<std::optional<StoredItem>>(
        site, node, on_answer,
        [&site, key]() -> Result<std::optional<StoredItem>> {
          const auto found = site.m_store.m_entries.find(key);
          if (found == site.m_store.m_entries.end()) {
            return std::optional<StoredItem>();
          }
          return std::optional<StoredItem>(
              {key, found->second.m_value, found->second.m_revision});
        });
  };
  store.m_list = [&site, &node](const std::string& prefix, Duration timeout,
                                auto on_answer) {
    const Duration transfer = site.m_faults.m_list_duration;
    if (transfer > timeout) {
      return DeliverError<Result<StoreListing>>(site, node, timeout, on_answer,
                                                NoAnswerError("store"));
    }
    if (transfer > Duration{}) {
      return RunAtNode(site, node, transfer, [&site, prefix, on_answer] {
        on_answer(List(site.m_store, prefix));
      });
    }
    CallStore<StoreListing>(
        site, node, on_answer,
        [&site, prefix]() -> Result<StoreListing> {
          return List(site.m_store, prefix);
        },
        timeout);
  };
  store.m_watch = [&site, &node](const std::string& prefix, StoreRevision after,
                                 Duration wait, auto on_answer) {
    WaitForChanges(site, node, prefix, after, site.m_loop.m_now + wait,
                   on_answer);
  };
  store.m_commit = [&site, &node](const StoreTransaction& transaction,
                                  auto on_answer) {
    if (IsRemovalLate(site, transaction)) {
      RunAfter(site.m_loop, kLateRemovalDelay,
               [&site, transaction] { Apply(site.m_store, transaction); });
    }
    if (IsWriteLost(site, transaction) || IsRemovalLate(site, transaction)) {
      return DeliverError<Result<TransactionResult>>(
          site, node, kStoreTimeout, on_answer, NoAnswerError("store"));
    }
    CallStore<TransactionResult>(
        site, node, on_answer,
        [&site, transaction]() -> Result<TransactionResult> {
          if (!HasLeases(site.m_store, transaction)) {
            return Error{ErrorCode::kNotFound, "commit", "store",
                         "a lease has ended"};
          }
          if (IsWriteRejected(site, transaction)) {
            return Error{ErrorCode::kInvalidArgument, "commit", "store",
                         "status 400"};
          }
          return Apply(site.m_store, transaction);
        });
  };
  store.m_grant_lease = [&site, &node](Duration term, auto on_answer) {
    CallStore<StoreLeaseId>(
        site, node, on_answer, [&site, term]() -> Result<StoreLeaseId> {
          return GrantLease(site.m_store, term, site.m_loop.m_now);
        });
  };
  store.m_renew_lease = [&site, &node](StoreLeaseId lease, auto on_answer) {
    CallStore<StoreLeaseId>(site, node, on_answer, [&site, lease] {
      return RenewLease(site.m_store, lease, site.m_loop.m_now);
    });
  };
  store.m_revoke_lease = [&site, &node](StoreLeaseId lease, auto on_answer) {
    CallStore<StoreLeaseId>(site, node, on_answer,
                            [&site, lease]() -> Result<StoreLeaseId> {
                              RevokeLease(site.m_store, lease);
                              return lease;
                            });
  };
  return store;
}

OrderSender MakeOrderSender(FakeSite& site, FakeSiteNode& node) {
  OrderSender sender;
  sender.m_start = [&site, &node](const std::string&, const StartOrder& order,
                                  auto on_answer) {
    SendToWorker<StartOrder, StartAnswer>(
        site, node, order, on_answer, {StartOutcome::kUnanswered, std::nullopt},
        {StartOutcome::kRefused, std::nullopt});
  };
  sender.m_stop = [&site, &node](const std::string&, const StopOrder& order,
                                 auto on_answer) {
    SendToWorker<StopOrder, Result<void>>(site, node, order, on_answer,
                                          NoAnswerError(order.m_worker.value()),
                                          ClosedError(order.m_worker.value()));
  };
  sender.m_throttle = [&site, &node](const std::string&,
                                     const ThrottleOrder& order,
                                     auto on_answer) {
    SendToWorker<ThrottleOrder, Result<void>>(
        site, node, order, on_answer, NoAnswerError(order.m_worker.value()),
        ClosedError(order.m_worker.value()));
  };
  sender.m_poll = [&site, &node](const std::string&, const PollOrder& order,
                                 auto on_answer) {
    SendPoll(site, node, order, on_answer);
  };
  return sender;
}

namespace {

/// A call to a relay on its way. It is answered once, or has timed out.
struct RelayedCall {
  std::function<void(Result<std::string>)> m_on_answer;
  TimePoint m_deadline{};
  bool m_is_over = false;
};
using RelayedCallPointer = std::shared_ptr<RelayedCall>;

std::function<void(Result<std::string>)> AnswerOnce(
    const RelayedCallPointer& call) {
  return [call](const Result<std::string>& answer) {
    if (!std::exchange(call->m_is_over, true)) call->m_on_answer(answer);
  };
}

void ReturnRelayAnswer(FakeSite& site, FakeSiteNode& node, FakeSiteNode& relay,
                       const RelayedCallPointer& call,
                       const Result<std::string>& answer) {
  const bool is_lost =
      Chance(site.m_loop, site.m_faults.m_relay_answer_loss_probability);
  if (is_lost || !CanTalk(site, node, relay)) return;
  Charge(site.m_loop, relay.m_loop, &LoopCosts::m_message);
  RunWhenDone(site.m_loop, relay.m_loop, [&site, &node, call, answer] {
    Deliver<Result<std::string>>(site, node, DrawOrderDelay(site),
                                 call->m_deadline, AnswerOnce(call), answer,
                                 NoAnswerError("relay"));
  });
}

}  // namespace

RelayCaller MakeRelayCaller(FakeSite& site, FakeSiteNode& node) {
  return [&site, &node](
             const std::string& address, const std::string& bytes,
             Duration timeout,
             const std::function<void(Result<std::string>)>& on_answer) {
    auto call = std::make_shared<RelayedCall>();
    call->m_on_answer = on_answer;
    call->m_deadline = site.m_loop.m_now + timeout;
    DeliverError<Result<std::string>>(site, node, timeout, AnswerOnce(call),
                                      NoAnswerError(address));
    FakeSiteNode* relay = FindNode(site, address);
    if (relay == nullptr || !CanTalk(site, node, *relay)) return;
    const TimePoint arrives_at =
        HandledAt(*relay, site.m_loop.m_now + DrawOrderDelay(site));
    RunAtNode(
        site, *relay, arrives_at - site.m_loop.m_now,
        [&site, &node, relay, call, bytes] {
          Charge(site.m_loop, relay->m_loop, &LoopCosts::m_message);
          CountOrders(site, bytes);
          HandleRelayCall(
              *relay->m_node, bytes, node.m_name,
              [&site, &node, relay, call](const Result<std::string>& answer) {
                ReturnRelayAnswer(site, node, *relay, call, answer);
              });
        });
  };
}

}  // namespace daisyarch::fleet
