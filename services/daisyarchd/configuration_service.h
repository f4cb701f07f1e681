#pragma once

#include <functional>
#include <vector>

#include "decisions/configuration/configuration.h"
#include "decisions/configuration/configuration_change.h"
#include "membership_service.h"
#include "runtime.h"

namespace daisyarch {

/// Holds the configuration in force on this node, adopts later versions from
/// the store and from peers, and writes operators' changes to the store.
struct ConfigurationService {
  Runtime& m_runtime;
  MembershipService& m_membership;
  Configuration m_current;
  StoreVersion m_watched_version;  ///< The next watch waits for a later one.
  bool m_is_watch_pending = false;
  bool m_is_fetching = false;  ///< A request to a peer is in flight.
  TimePoint m_next_watch_at{};
  TimePoint m_next_peer_call_at{};
  std::size_t m_next_peer_index = 0;
  /// Called after a later version has come into force on this node.
  std::function<void()> m_on_adopted;
};

/// Keeps a watch on the stored configuration if this node is the watcher of
/// its failure domain or has no configuration yet. Other nodes learn of later
/// versions from heartbeats. A node without a configuration also requests it
/// from the peers that its settings name.
void TickConfiguration(ConfigurationService& service, TimePoint now);

/// Requests the configuration of the peer at `mesh_address` and adopts it if it
/// is later than this node's. Does nothing while another fetch is in flight.
void FetchConfiguration(ConfigurationService& service,
                        const std::string& mesh_address);

/// Writes a change to the store and adopts the result on this node.
/// kConflict: a later version clashes with the change, and the error names
/// that version and its field; or concurrent changes won on every attempt.
/// kNotRun: the store failed before the change was written.
/// kOutcomeUnknown: the store did not confirm whether it was written.
void ChangeConfiguration(ConfigurationService& service,
                         const ConfigurationChange& change,
                         std::function<void(Result<Configuration>)> on_done);

/// Reads the last `count` entries of the audit trail, newest first.
void ReadAudit(ConfigurationService& service, std::size_t count,
               std::function<void(Result<std::vector<AuditEntry>>)> on_done);

}  // namespace daisyarch
