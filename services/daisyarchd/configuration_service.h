#pragma once

#include <functional>
#include <vector>

#include "decisions/configuration/configuration.h"
#include "decisions/configuration/configuration_change.h"
#include "membership_service.h"
#include "runtime.h"

namespace daisyarch {

/// Holds the configuration in force at this node, brings later versions in
/// and takes changes to the store.
struct ConfigurationService {
  Runtime& m_runtime;
  MembershipService& m_membership;
  Configuration m_current;
  StoreVersion m_watched_version;
  bool m_is_watch_pending = false;
  bool m_is_fetching = false;
  TimePoint m_next_watch_at{};
  TimePoint m_next_peer_call_at{};
  std::size_t m_next_peer_index = 0;
  std::function<void()> m_on_adopted;
};

/// Keeps a watch on the store where this node is the one that watches for
/// its failure domain; the others learn by heartbeats.
void TickConfiguration(ConfigurationService& service, TimePoint now);

/// Fetches the configuration of a peer that holds a later one.
void FetchConfiguration(ConfigurationService& service,
                        const std::string& mesh_address);

/// Makes a change durable and puts it in force here. kConflict names the
/// winner's version and field; kOutcomeUnknown when the store does not tell.
void ChangeConfiguration(ConfigurationService& service,
                         const ConfigurationChange& change,
                         std::function<void(Result<Configuration>)> on_done);

/// The last `count` entries of the audit trail, newest first.
void ReadAudit(ConfigurationService& service, std::size_t count,
               std::function<void(Result<std::vector<AuditEntry>>)> on_done);

}  // namespace daisyarch
