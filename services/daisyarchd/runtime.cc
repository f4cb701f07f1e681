#include "runtime.h"

#include <utility>

namespace daisyarch {

namespace {

void StepStore(Runtime& runtime, bool is_failure, Duration elapsed) {
  StoreEvent event = StoreEvent::kAnswered;
  if (elapsed > kStoreLateAnswerThreshold) event = StoreEvent::kAnsweredLate;
  if (is_failure) event = StoreEvent::kFailed;
  StoreContext context{runtime.m_store_health};
  runtime.m_state_machines.m_store.Step(runtime.m_store_health.m_state, event,
                                        context);
}

template <typename Value>
bool IsStoreFailure(const Result<Value>& result) {
  if (result) return false;
  const ErrorCode code = result.assume_error().m_code;
  return code == ErrorCode::kUnavailable || code == ErrorCode::kOutcomeUnknown;
}

template <typename Value>
PlatformCallback<Value> ObserveAnswer(Runtime& runtime,
                                      PlatformCallback<Value> on_answer) {
  const TimePoint asked_at = runtime.m_clock.m_now();
  return [&runtime, asked_at,
          on_answer = std::move(on_answer)](Result<Value> result) {
    StepStore(runtime, IsStoreFailure(result),
              runtime.m_clock.m_now() - asked_at);
    on_answer(std::move(result));
  };
}

}  // namespace

Result<StateMachines> LoadStateMachines(const std::string& directory) {
  TRY_ASSIGN(auto node,
             NodeStateMachine::Load(directory, "node", NodeBinding()));
  TRY_ASSIGN(auto request,
             RequestStateMachine::Load(directory, "request", RequestBinding()));
  TRY_ASSIGN(auto endpoint, EndpointStateMachine::Load(directory, "endpoint",
                                                       EndpointBinding()));
  TRY_ASSIGN(auto task,
             TaskStateMachine::Load(directory, "task", TaskBinding()));
  TRY_ASSIGN(auto worker,
             WorkerStateMachine::Load(directory, "worker", WorkerBinding()));
  TRY_ASSIGN(auto partition, PartitionStateMachine::Load(directory, "partition",
                                                         PartitionBinding()));
  TRY_ASSIGN(auto peer,
             PeerStateMachine::Load(directory, "peer", PeerBinding()));
  TRY_ASSIGN(auto store, StoreStateMachine::Load(
                             directory, "configuration_store", StoreBinding()));
  return StateMachines{
      std::move(node),
      std::move(request),
      std::move(endpoint),
      PlacementStateMachines{std::move(task), std::move(worker)},
      std::move(partition),
      std::move(peer),
      std::move(store)};
}

Platform ObserveStoreHealth(const Platform& platform, Runtime& runtime) {
  Platform observed = platform;
  observed.m_read = [platform, &runtime](
                        const std::string& key,
                        PlatformCallback<StoreEntry> on_answer) {
    platform.m_read(key, ObserveAnswer(runtime, std::move(on_answer)));
  };
  observed.m_compare_and_swap = [platform, &runtime](
                                    const std::string& key,
                                    StoreVersion expected, std::string value,
                                    StoreLeaseId lease,
                                    PlatformCallback<SwapResult> on_answer) {
    platform.m_compare_and_swap(key, expected, std::move(value), lease,
                                ObserveAnswer(runtime, std::move(on_answer)));
  };
  observed.m_renew_lease = [platform, &runtime](
                               StoreLeaseId lease,
                               PlatformCallback<StoreLeaseId> on_answer) {
    platform.m_renew_lease(lease, ObserveAnswer(runtime, std::move(on_answer)));
  };
  return observed;
}

}  // namespace daisyarch
