#include "configuration_service.h"

#include <memory>
#include <utility>

#include "log/log.h"
#include "wire/configuration_fields.h"

namespace daisyarch {

namespace {

constexpr const char* kConfigurationKey = "configuration";
constexpr Duration kWatchTimeout = std::chrono::seconds(20);
constexpr Duration kWatchRetryInterval = std::chrono::seconds(1);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);
constexpr int kMaximumAttempts = 8;

std::string AuditKey(ConfigurationVersion version) {
  return "audit/" + std::to_string(version.value());
}

void AdoptConfiguration(ConfigurationService& service,
                        const Configuration& offered) {
  if (DecideVersion(service.m_current.m_version, offered.m_version) ==
      VersionDecision::kKeep) {
    return;
  }
  service.m_current = offered;
  LogEvent(LogLevel::kInfo, "configuration_adopted",
           {{"version", offered.m_version.value()},
            {"field", offered.m_change.m_field},
            {"operator", offered.m_change.m_operator}});
  service.m_on_adopted();
  ExpediteHeartbeat(service.m_membership);
}

Result<Configuration> DecodeConfiguration(const StoreEntry& entry) {
  if (entry.m_version == StoreVersion()) return Configuration{};
  return DecodeCbor<Configuration>(entry.m_value, "read configuration",
                                   "store");
}

// The first live member of a failure domain watches on behalf of all its
// nodes, so that the number of watches on the store grows with the number of
// failure domains instead of nodes.
bool IsWatcher(const ConfigurationService& service) {
  const PeerTable& table = service.m_membership.m_table;
  for (const Member& member : table.m_members.m_members) {
    if (member.m_failure_domain != table.m_self.m_failure_domain) continue;
    if (member.m_node == table.m_self.m_node) return true;
    const auto peer = table.m_peers.find(member.m_node);
    if (peer == table.m_peers.end()) continue;
    if (peer->second.m_state == PeerState::kAlive) return false;
  }
  return false;
}

void OnWatchAnswered(ConfigurationService& service, Result<StoreEntry> result) {
  service.m_is_watch_pending = false;
  const TimePoint now = service.m_runtime.m_clock.m_now();
  if (!result) {
    service.m_next_watch_at = now + kWatchRetryInterval;
    return;
  }
  auto configuration = DecodeConfiguration(result.assume_value());
  if (!configuration) {
    service.m_next_watch_at = now + kWatchRetryInterval;
    return LogError("configuration_unreadable", configuration.assume_error());
  }
  AdoptConfiguration(service, configuration.assume_value());
}

// A node that starts while the store is down has no member list yet, so it
// calls the peers that its settings name; they may hold the configuration.
void FetchInitialConfiguration(ConfigurationService& service, TimePoint now) {
  const std::vector<Address>& peers = service.m_runtime.m_settings.m_peers;
  const bool is_unset = service.m_current.m_version == ConfigurationVersion();
  if (!is_unset || peers.empty() || now < service.m_next_peer_call_at) return;
  service.m_next_peer_call_at = now + kWatchRetryInterval;
  const Address& peer = peers[service.m_next_peer_index++ % peers.size()];
  FetchConfiguration(service, ToString(peer));
}

/// Writes one change to the store, with retries after concurrent changes and
/// lost answers.
class ChangeTransaction
    : public std::enable_shared_from_this<ChangeTransaction> {
 public:
  ChangeTransaction(ConfigurationService& service, ConfigurationChange change,
                    std::function<void(Result<Configuration>)> on_done)
      : m_service(service),
        m_change(std::move(change)),
        m_on_done(std::move(on_done)) {}

  void ReadCurrent() {
    if (++m_attempts > kMaximumAttempts) {
      return m_on_done(
          Error{ErrorCode::kConflict, "change configuration", "store",
                "every attempt met a concurrent change or a lost answer"});
    }
    m_service.m_runtime.m_platform.m_read(
        kConfigurationKey,
        [self = shared_from_this()](Result<StoreEntry> result) {
          if (!result) return self->Fail(std::move(result).assume_error());
          self->OnRead(result.assume_value());
        });
  }

 private:
  void OnRead(const StoreEntry& entry) {
    auto current = DecodeConfiguration(entry);
    if (!current) return m_on_done(std::move(current).assume_error());
    AdoptConfiguration(m_service, current.assume_value());
    if (m_is_unconfirmed) return FindOwnChange(current.assume_value(), entry);
    ApplyToCurrent(current.assume_value(), entry);
  }

  void ApplyToCurrent(const Configuration& current, const StoreEntry& entry) {
    auto next = ApplyChange(current, m_change);
    if (!next) return m_on_done(std::move(next).assume_error());
    m_next = std::move(next).assume_value();
    StoreAuditEntry(current.m_change, entry.m_version);
  }

  // The configuration holds the audit entry of its own version only. Before the
  // version is replaced, its entry is copied to a separate key, so that no
  // entry is lost.
  void StoreAuditEntry(const AuditEntry& last, StoreVersion version) {
    if (last.m_version == ConfigurationVersion()) return WriteNext(version);
    m_service.m_runtime.m_platform.m_compare_and_swap(
        AuditKey(last.m_version), StoreVersion(), WriteCbor(Encode(last)),
        StoreLeaseId(),
        [self = shared_from_this(), version](Result<SwapResult> result) {
          // A conflict means that another node has already stored the entry.
          if (!result) return self->Fail(std::move(result).assume_error());
          self->WriteNext(version);
        });
  }

  void WriteNext(StoreVersion version) {
    m_is_unconfirmed = true;
    m_service.m_runtime.m_platform.m_compare_and_swap(
        kConfigurationKey, version, WriteCbor(Encode(m_next)), StoreLeaseId(),
        [self = shared_from_this()](Result<SwapResult> result) {
          self->OnWritten(std::move(result));
        });
  }

  void OnWritten(Result<SwapResult> result) {
    if (result && result.assume_value().m_is_swapped) {
      m_is_unconfirmed = false;
      return Succeed();
    }
    // A write that certainly failed ends the change. After a conflict or a lost
    // answer, the stored configuration is read to decide how to continue.
    if (!result && result.assume_error().m_code == ErrorCode::kUnavailable) {
      m_is_unconfirmed = false;
      return Fail(std::move(result).assume_error());
    }
    if (result) m_is_unconfirmed = false;
    ReadCurrent();
  }

  // After a lost answer: if the write took effect, the change's id is in the
  // stored configuration or, if that has changed since, in the audit trail.
  void FindOwnChange(const Configuration& current, const StoreEntry& entry) {
    if (current.m_version < m_next.m_version) {
      m_is_unconfirmed = false;
      return ApplyToCurrent(current, entry);
    }
    if (current.m_version == m_next.m_version) {
      m_is_unconfirmed = false;
      if (current.m_change.m_id == m_change.m_id) return Succeed();
      return ApplyToCurrent(current, entry);
    }
    m_service.m_runtime.m_platform.m_read(
        AuditKey(m_next.m_version),
        [self = shared_from_this(), current, entry](Result<StoreEntry> result) {
          if (!result) return self->Fail(std::move(result).assume_error());
          auto stored = DecodeCbor<AuditEntry>(result.assume_value().m_value,
                                               "read audit", "store");
          if (!stored) return self->Fail(std::move(stored).assume_error());
          self->m_is_unconfirmed = false;
          if (stored.assume_value().m_id == self->m_change.m_id) {
            return self->Succeed();
          }
          self->ApplyToCurrent(current, entry);
        });
  }

  void Succeed() {
    AdoptConfiguration(m_service, m_next);
    m_on_done(m_next);
  }

  void Fail(Error error) {
    if (m_is_unconfirmed) {
      error.m_code = ErrorCode::kOutcomeUnknown;
    } else {
      error.m_code = ErrorCode::kNotRun;
    }
    m_on_done(std::move(error));
  }

  ConfigurationService& m_service;
  ConfigurationChange m_change;
  std::function<void(Result<Configuration>)> m_on_done;
  Configuration m_next;
  int m_attempts = 0;
  bool m_is_unconfirmed = false;  ///< A write has no answer yet.
};

/// Reads the audit trail backwards, starting with the newest entry.
class AuditReader : public std::enable_shared_from_this<AuditReader> {
 public:
  AuditReader(ConfigurationService& service, std::size_t count,
              std::function<void(Result<std::vector<AuditEntry>>)> on_done)
      : m_service(service), m_count(count), m_on_done(std::move(on_done)) {}

  void Start() {
    const AuditEntry& newest = m_service.m_current.m_change;
    if (newest.m_version == ConfigurationVersion()) return Finish();
    m_entries.push_back(newest);
    ReadNext();
  }

 private:
  void ReadNext() {
    const std::uint64_t oldest = m_entries.back().m_version.value();
    if (oldest <= 1 || m_entries.size() >= m_count) return Finish();
    m_service.m_runtime.m_platform.m_read(
        AuditKey(ConfigurationVersion(oldest - 1)),
        [self = shared_from_this()](Result<StoreEntry> result) {
          if (!result) return self->m_on_done(result.assume_error());
          auto entry = DecodeCbor<AuditEntry>(result.assume_value().m_value,
                                              "read audit", "store");
          if (!entry) return self->m_on_done(entry.assume_error());
          self->m_entries.push_back(entry.assume_value());
          self->ReadNext();
        });
  }

  void Finish() { m_on_done(std::move(m_entries)); }

  ConfigurationService& m_service;
  std::size_t m_count;
  std::function<void(Result<std::vector<AuditEntry>>)> m_on_done;
  std::vector<AuditEntry> m_entries;
};

}  // namespace

void TickConfiguration(ConfigurationService& service, TimePoint now) {
  FetchInitialConfiguration(service, now);
  if (service.m_is_watch_pending || now < service.m_next_watch_at) return;
  // Until a node has a configuration, it watches the store itself.
  const bool is_unset = service.m_current.m_version == ConfigurationVersion();
  if (!is_unset && !IsWatcher(service)) return;
  if (is_unset && !IsWatcher(service)) {
    service.m_next_watch_at = now + kWatchRetryInterval;
  }
  service.m_is_watch_pending = true;
  // m_watched_version is the version of the store's key, which differs from the
  // configuration's version. A watch from version 0 answers at once; the next
  // one waits for a version later than the entry found.
  service.m_runtime.m_platform.m_watch(
      kConfigurationKey, service.m_watched_version, kWatchTimeout,
      [&service](Result<StoreEntry> result) {
        if (result) {
          service.m_watched_version = result.assume_value().m_version;
        }
        OnWatchAnswered(service, std::move(result));
      });
}

void FetchConfiguration(ConfigurationService& service,
                        const std::string& mesh_address) {
  if (service.m_is_fetching) return;
  service.m_is_fetching = true;
  service.m_runtime.m_peers.m_call(
      mesh_address, "get_configuration", Json::object(), kFetchTimeout,
      [&service, mesh_address](const Result<Json>& result) {
        service.m_is_fetching = false;
        if (!result) return;
        auto configuration = Decode<Configuration>(
            result.assume_value(), "read configuration", mesh_address);
        if (!configuration) {
          return LogError("configuration_unreadable",
                          configuration.assume_error());
        }
        AdoptConfiguration(service, configuration.assume_value());
      });
}

void ChangeConfiguration(ConfigurationService& service,
                         const ConfigurationChange& change,
                         std::function<void(Result<Configuration>)> on_done) {
  std::make_shared<ChangeTransaction>(service, change, std::move(on_done))
      ->ReadCurrent();
}

void ReadAudit(ConfigurationService& service, std::size_t count,
               std::function<void(Result<std::vector<AuditEntry>>)> on_done) {
  std::make_shared<AuditReader>(service, count, std::move(on_done))->Start();
}

}  // namespace daisyarch
