#include "fleet/fleet_node.h"

#include "fleet/node_leadership.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// When the store has not answered for this long, another node is likely to
// serve requests better.
constexpr Duration kReadinessTimeout = std::chrono::milliseconds(3500);

// The configuration watch is answered within a second; one without an answer
// times out and is sent again within two.
constexpr Duration kStoreUnreachableTimeout = std::chrono::milliseconds(2000);
// A configuration that was confirmed within this time counts as the newest.
constexpr Duration kMaximumConfirmationAge = std::chrono::milliseconds(300);
// A configuration change has to take effect within 2 s. The short wait makes a
// watch on a dead connection time out well before that.
constexpr Duration kConfigurationWatchWait = std::chrono::milliseconds(1000);

void ApplyConfiguration(FleetNode& node, const std::string& text,
                        StoreRevision revision) {
  auto routes = node.m_runtime.m_codec.m_read_configuration(text);
  if (!routes) {
    return LogError("configuration_unreadable", routes.assume_error());
  }
  // A stale answer must not roll the configuration back.
  if (node.m_has_routes &&
      routes.assume_value().m_version <= node.m_routes.m_version) {
    return;
  }
  node.m_routes = std::move(routes).assume_value();
  if (!node.m_has_routes) {
    node.m_routes_known_at = node.m_runtime.m_clock.m_now();
  }
  node.m_has_routes = true;
  LogEvent(LogLevel::kInfo, "configuration_applied",
           {{"version", node.m_routes.m_version.value()},
            {"store_revision", revision.value()},
            {"routes", std::uint64_t{node.m_routes.m_routes.size()}}});
  if (!node.m_leader) return;
  ApplyQueues(node.m_leader->m_fleet, QueuesOf(node.m_routes));
  RequestSchedulingPass(node.m_leader);
}

void WatchConfiguration(FleetNode& node) {
  node.m_configuration_watch = std::make_shared<PrefixWatch>();
  PrefixWatch& watch = *node.m_configuration_watch;
  watch.m_prefix = node.m_runtime.m_codec.m_configuration_key;
  watch.m_wait = kConfigurationWatchWait;
  watch.m_on_listing = [&node](const std::vector<StoredItem>& items) {
    for (const StoredItem& item : items) {
      if (item.m_key != node.m_runtime.m_codec.m_configuration_key) continue;
      ApplyConfiguration(node, item.m_value, item.m_revision);
    }
  };
  watch.m_on_changes = [&node](const std::vector<StoreChange>& changes) {
    for (const StoreChange& change : changes) {
      if (change.m_key != node.m_runtime.m_codec.m_configuration_key) continue;
      if (change.m_value) {
        ApplyConfiguration(node, *change.m_value, change.m_revision);
      }
    }
  };
}

Duration SinceStoreAnswered(const FleetNode& node) {
  return node.m_runtime.m_clock.m_now() -
         node.m_configuration_watch->m_answered_at;
}

}  // namespace

void StartFleetNode(FleetNode& node) {
  WatchConfiguration(node);
  WatchLeadership(node);
  TickFleetNode(node);
}

void TickFleetNode(FleetNode& node) {
  const FleetRuntime& runtime = node.m_runtime;
  TickWatch(node.m_configuration_watch, runtime.m_store, runtime.m_clock.m_now);
  TickWatch(node.m_leadership_watch, runtime.m_store, runtime.m_clock.m_now);
  TickOrderRelay(node);
  TickLeadership(node);
}

void ConfirmConfiguration(FleetNode& node, std::function<void()> then) {
  const TimePoint now = node.m_runtime.m_clock.m_now();
  if (now - node.m_configuration_confirmed_at < kMaximumConfirmationAge) {
    return then();
  }
  node.m_confirmation_callbacks.push_back(std::move(then));
  if (node.m_is_confirming) return;
  node.m_is_confirming = true;
  node.m_runtime.m_store.m_read(
      node.m_runtime.m_codec.m_configuration_key, ReadFreshness::kCurrent,
      [&node, now](Result<std::optional<StoredItem>> result) {
        node.m_is_confirming = false;
        const bool previous_succeeded = node.m_last_confirmation_succeeded;
        node.m_last_confirmation_succeeded = result.has_value();
        if (!result && previous_succeeded) {
          LogError("configuration_not_confirmed", result.assume_error());
        }
        if (result) {
          node.m_configuration_confirmed_at = now;
          const auto& item = result.assume_value();
          if (item) ApplyConfiguration(node, item->m_value, item->m_revision);
        }
        const auto callbacks = std::move(node.m_confirmation_callbacks);
        node.m_confirmation_callbacks.clear();
        for (const auto& callback : callbacks) callback();
      });
}

void StopFleetNode(FleetNode& node) {
  if (node.m_is_stopping) return;
  node.m_is_stopping = true;
  node.m_stop_requested_at = node.m_runtime.m_clock.m_now();
  LogEvent(LogLevel::kInfo, "stopping",
           {{"node", node.m_runtime.m_settings.m_node.value()}});
  StepLeadership(node, LeadershipEvent::kStopRequested);
}

bool IsReady(const FleetNode& node) {
  if (!node.m_has_routes || node.m_is_stopping) return false;
  return SinceStoreAnswered(node) < kReadinessTimeout;
}

bool IsStoreUnreachable(const FleetNode& node) {
  return SinceStoreAnswered(node) >= kStoreUnreachableTimeout;
}

bool HasHandedOver(const FleetNode& node) {
  return node.m_leadership == LeadershipState::kStopped;
}

}  // namespace daisyarch::fleet
