#include "fakes/charged_links.h"

#include <utility>

#include "fakes/fake_site_links.h"
#include "wire/relay_fields.h"

namespace daisyarch::fleet {

namespace {

void ChargeNode(const FakeSite& site, FakeSiteNode& node,
                Duration LoopCosts::*cost, std::size_t count = 1) {
  Charge(site.m_loop, node.m_loop, cost, count);
}

// Charges the node for reading an answer. An answer that is an error was made
// by the node itself.
template <typename Value>
StoreCallback<Value> ChargeAnswer(FakeSite& site, FakeSiteNode& node,
                                  StoreCallback<Value> on_answer) {
  return [&site, &node,
          on_answer = std::move(on_answer)](const Result<Value>& answer) {
    if (answer) ChargeNode(site, node, &LoopCosts::m_store_call);
    on_answer(answer);
  };
}

template <typename Value, typename... Arguments>
struct StoreCall {
  using Function = std::function<void(Arguments..., StoreCallback<Value>)>;
};

// Returns the function, charged with one store call and its answer.
template <typename Value, typename... Arguments>
auto ChargeCall(FakeSite& site, FakeSiteNode& node,
                typename StoreCall<Value, Arguments...>::Function call) ->
    typename StoreCall<Value, Arguments...>::Function {
  return [&site, &node, call = std::move(call)](
             Arguments... arguments, StoreCallback<Value> on_answer) {
    ChargeNode(site, node, &LoopCosts::m_store_call);
    auto charged = ChargeAnswer<Value>(site, node, std::move(on_answer));
    RunWhenDone(site.m_loop, node.m_loop,
                [call, arguments..., charged = std::move(charged)] {
                  call(arguments..., charged);
                });
  };
}

void ChargeOutcome(FakeSite& site, FakeSiteNode& node,
                   const StartAnswer& answer) {
  if (answer.m_outcome == StartOutcome::kUnanswered) return;
  ChargeNode(site, node, &LoopCosts::m_answer);
}

void ChargeOutcome(FakeSite& site, FakeSiteNode& node,
                   const Result<void>& result) {
  if (result) ChargeNode(site, node, &LoopCosts::m_answer);
}

void ChargeOutcome(FakeSite& site, FakeSiteNode& node,
                   const Result<WorkerReport>& report) {
  if (!report) return;
  ChargeNode(site, node, &LoopCosts::m_answer);
  ChargeNode(site, node, &LoopCosts::m_report);
  ChargeNode(site, node, &LoopCosts::m_listed_end,
             report.assume_value().m_ended.size());
}

// Returns the function, charged with one order and its answer.
template <typename Order, typename Answer>
std::function<void(const std::string&, const Order&,
                   std::function<void(Answer)>)>
ChargeOrder(FakeSite& site, FakeSiteNode& node,
            std::function<void(const std::string&, const Order&,
                               std::function<void(Answer)>)>
                send) {
  return [&site, &node, send = std::move(send)](
             const std::string& address, const Order& order,
             std::function<void(Answer)> on_answer) {
    ChargeNode(site, node, &LoopCosts::m_order);
    auto charged = [&site, &node,
                    on_answer = std::move(on_answer)](const Answer& answer) {
      ChargeOutcome(site, node, answer);
      on_answer(answer);
    };
    RunWhenDone(site.m_loop, node.m_loop,
                [send, address, order, charged = std::move(charged)] {
                  send(address, order, charged);
                });
  };
}

void ChargeRelayCall(FakeSite& site, FakeSiteNode& node,
                     const std::string& bytes) {
  ChargeNode(site, node, &LoopCosts::m_message);
  const auto call = ReadRelayCall(bytes, node.m_name);
  if (!call) return;
  for (const RelayedOrder& order : call.assume_value().m_orders) {
    ChargeNode(site, node, &LoopCosts::m_relayed_order);
    if (std::holds_alternative<StartOrder>(order.m_order))
      ChargeNode(site, node, &LoopCosts::m_placed_run);
  }
}

void ChargeRelayAnswer(FakeSite& site, FakeSiteNode& node,
                       const Result<std::string>& bytes) {
  if (!bytes) return;
  ChargeNode(site, node, &LoopCosts::m_message);
  const auto answer = ReadRelayAnswer(bytes.assume_value(), node.m_name);
  if (!answer) return;
  for (const RelayedOutcome& outcome : answer.assume_value().m_outcomes) {
    ChargeNode(site, node, &LoopCosts::m_relayed_outcome);
    const auto* poll = std::get_if<Result<WorkerReport>>(&outcome.m_outcome);
    if (poll == nullptr || !*poll) continue;
    ChargeNode(site, node, &LoopCosts::m_report);
    ChargeNode(site, node, &LoopCosts::m_listed_end,
               poll->assume_value().m_ended.size());
  }
}

}  // namespace

Store ChargeStore(FakeSite& site, FakeSiteNode& node, Store store) {
  store.m_read =
      ChargeCall<std::optional<StoredItem>, const std::string&, ReadFreshness>(
          site, node, store.m_read);
  store.m_list = ChargeCall<StoreListing, const std::string&, Duration>(
      site, node, store.m_list);
  store.m_watch =
      ChargeCall<StoreChanges, const std::string&, StoreRevision, Duration>(
          site, node, store.m_watch);
  store.m_commit = ChargeCall<TransactionResult, const StoreTransaction&>(
      site, node, store.m_commit);
  store.m_grant_lease =
      ChargeCall<StoreLeaseId, Duration>(site, node, store.m_grant_lease);
  store.m_renew_lease =
      ChargeCall<StoreLeaseId, StoreLeaseId>(site, node, store.m_renew_lease);
  store.m_revoke_lease =
      ChargeCall<StoreLeaseId, StoreLeaseId>(site, node, store.m_revoke_lease);
  return store;
}

OrderSender ChargeOrders(FakeSite& site, FakeSiteNode& node,
                         OrderSender orders) {
  // A start is sent in the pass that chose its worker.
  orders.m_start =
      [&site, &node,
       send = ChargeOrder<StartOrder, StartAnswer>(site, node, orders.m_start)](
          const std::string& address, const StartOrder& order,
          std::function<void(StartAnswer)> on_answer) {
        ChargeNode(site, node, &LoopCosts::m_placed_run);
        send(address, order, std::move(on_answer));
      };
  orders.m_stop =
      ChargeOrder<StopOrder, Result<void>>(site, node, orders.m_stop);
  orders.m_throttle =
      ChargeOrder<ThrottleOrder, Result<void>>(site, node, orders.m_throttle);
  orders.m_poll =
      ChargeOrder<PollOrder, Result<WorkerReport>>(site, node, orders.m_poll);
  return orders;
}

RelayCaller ChargeRelays(FakeSite& site, FakeSiteNode& node, RelayCaller call) {
  return [&site, &node, call = std::move(call)](
             const std::string& address, const std::string& bytes,
             Duration timeout,
             std::function<void(Result<std::string>)> on_answer) {
    ChargeRelayCall(site, node, bytes);
    auto charged = [&site, &node, on_answer = std::move(on_answer)](
                       const Result<std::string>& answer) {
      ChargeRelayAnswer(site, node, answer);
      on_answer(answer);
    };
    RunWhenDone(site.m_loop, node.m_loop,
                [call, address, bytes, timeout, charged = std::move(charged)] {
                  call(address, bytes, timeout, charged);
                });
  };
}

void SendToNode(FakeSite& site, FakeSiteNode& from, FakeSiteNode& to,
                std::function<void()> handle) {
  ChargeNode(site, from, &LoopCosts::m_message);
  RunWhenDone(site.m_loop, from.m_loop,
              [&site, &to, handle = std::move(handle)] {
                const Duration delay =
                    DelayBetween(site.m_loop, std::chrono::microseconds(300),
                                 std::chrono::microseconds(4000));
                RunAtNode(site, to, delay, [&site, &to, handle] {
                  ChargeNode(site, to, &LoopCosts::m_message);
                  handle();
                });
              });
}

}  // namespace daisyarch::fleet
