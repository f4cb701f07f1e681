#include "fleet/fleet_node.h"

#include "fleet/node_lead.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// The store has not answered for so long that callers are better served by
// another node.
constexpr Duration kUnreadyAfter = std::chrono::milliseconds(3500);

// The watch is answered every second, or given up and asked again within two.
constexpr Duration kAwayAfter = std::chrono::milliseconds(2000);
// A configuration that was confirmed this long ago is taken for the newest.
constexpr Duration kConfirmationAge = std::chrono::milliseconds(300);
// A change has to be in force within 2 s; a watch on a connection that went
// silent is given up well before.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(1000);

void TakeConfiguration(FleetNode& node, const std::string& text,
                       StoreRevision revision) {
  auto routes = node.m_runtime.m_codec.m_read_configuration(text);
  if (!routes) {
    return LogError("configuration_unreadable", routes.assume_error());
  }
  // A stale answer must not take a version back.
  if (node.m_has_routes &&
      routes.assume_value().m_version <= node.m_routes.m_version) {
    return;
  }
  node.m_routes = std::move(routes).assume_value();
  node.m_has_routes = true;
  LogEvent(LogLevel::kInfo, "configuration_applied",
           {{"version", node.m_routes.m_version.value()},
            {"store_revision", revision.value()},
            {"routes", std::uint64_t{node.m_routes.m_routes.size()}}});
  if (!node.m_leader) return;
  ApplyQueues(node.m_leader->m_fleet, QueuesOf(node.m_routes));
  SettleSoon(node.m_leader);
}

void WatchConfiguration(FleetNode& node) {
  node.m_configuration_watch = std::make_shared<PrefixWatch>();
  PrefixWatch& watch = *node.m_configuration_watch;
  watch.m_prefix = node.m_runtime.m_codec.m_configuration_key;
  watch.m_wait = kConfigurationWait;
  watch.m_on_listing = [&node](const std::vector<StoredItem>& items) {
    for (const StoredItem& item : items) {
      if (item.m_key != node.m_runtime.m_codec.m_configuration_key) continue;
      TakeConfiguration(node, item.m_value, item.m_revision);
    }
  };
  watch.m_on_changes = [&node](const std::vector<StoreChange>& changes) {
    for (const StoreChange& change : changes) {
      if (change.m_key != node.m_runtime.m_codec.m_configuration_key) continue;
      if (change.m_value) {
        TakeConfiguration(node, *change.m_value, change.m_revision);
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
  WatchLead(node);
  TickFleetNode(node);
}

void TickFleetNode(FleetNode& node) {
  const FleetRuntime& runtime = node.m_runtime;
  TickWatch(node.m_configuration_watch, runtime.m_store, runtime.m_clock.m_now);
  TickWatch(node.m_lead_watch, runtime.m_store, runtime.m_clock.m_now);
  TickLead(node);
}

void ConfirmConfiguration(FleetNode& node, std::function<void()> then) {
  const TimePoint now = node.m_runtime.m_clock.m_now();
  if (now - node.m_configuration_confirmed_at < kConfirmationAge) {
    return then();
  }
  node.m_waiting_for_confirmation.push_back(std::move(then));
  if (node.m_is_confirming) return;
  node.m_is_confirming = true;
  node.m_runtime.m_store.m_read(
      node.m_runtime.m_codec.m_configuration_key, ReadFreshness::kCurrent,
      [&node, now](Result<std::optional<StoredItem>> result) {
        node.m_is_confirming = false;
        const bool could_confirm = node.m_could_confirm;
        node.m_could_confirm = result.has_value();
        if (!result && could_confirm) {
          LogError("configuration_not_confirmed", result.assume_error());
        }
        if (result) {
          node.m_configuration_confirmed_at = now;
          const auto& item = result.assume_value();
          if (item) TakeConfiguration(node, item->m_value, item->m_revision);
        }
        const auto waiting = std::move(node.m_waiting_for_confirmation);
        node.m_waiting_for_confirmation.clear();
        for (const auto& one : waiting) one();
      });
}

void StopFleetNode(FleetNode& node) {
  if (node.m_is_stopping) return;
  node.m_is_stopping = true;
  node.m_stop_requested_at = node.m_runtime.m_clock.m_now();
  LogEvent(LogLevel::kInfo, "stopping",
           {{"node", node.m_runtime.m_settings.m_node.value()}});
  StepLead(node, LeadershipEvent::kStopRequested);
}

bool IsReady(const FleetNode& node) {
  if (!node.m_has_routes || node.m_is_stopping) return false;
  return SinceStoreAnswered(node) < kUnreadyAfter;
}

bool IsStoreUnreachable(const FleetNode& node) {
  return SinceStoreAnswered(node) >= kAwayAfter;
}

bool HasHandedOver(const FleetNode& node) {
  return node.m_leadership == LeadershipState::kStopped;
}

}  // namespace daisyarch::fleet
