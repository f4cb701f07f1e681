#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

namespace daisyarch {

/// A key of the store and its value.
struct StoredItem {
  std::string m_key;
  std::string m_value;
  StoreRevision m_revision;  ///< Revision of its last change.
};

/// A change of one key; without a value, the key was removed.
struct StoreChange {
  std::string m_key;
  StoreRevision m_revision;
  std::optional<std::string> m_value;
};

struct StoreListing {
  std::vector<StoredItem> m_items;
  StoreRevision m_as_of;  ///< A watch from here misses no change.
};

struct StoreChanges {
  std::vector<StoreChange> m_changes;
  StoreRevision m_as_of;  ///< Where the next watch starts.
};

/// A condition on the revision of a key; 0 means that the key is absent.
struct StoreExpectation {
  std::string m_key;
  StoreRevision m_revision;
};

struct StorePut {
  std::string m_key;
  std::string m_value;
  StoreLeaseId m_lease;  ///< 0: no lease; the key outlives its writer.
};

/// Applied as a whole if every expectation holds, or else not at all.
struct StoreTransaction {
  std::vector<StoreExpectation> m_expectations;
  std::vector<StorePut> m_puts;
  std::vector<std::string> m_removals;
};

/// The limit on expectations, puts and removals of one transaction, together.
constexpr std::size_t kMaximumTransactionEntries = 32;

struct TransactionResult {
  bool m_is_applied = false;
  StoreRevision m_revision;  ///< If applied, the revision of the puts.
  /// If not applied, the items of the expected keys that exist.
  std::vector<StoredItem> m_current_items;
};

enum class ReadFreshness {
  kCurrent,
  kPossiblyStale,  ///< Cheaper; may be seconds old.
};

/// Receives the result of a call. kUnavailable: the call had no effect.
/// kOutcomeUnknown: the call may have taken effect, or may still do so.
template <typename Value>
using StoreCallback = std::function<void(Result<Value>)>;

/// A key-value store with transactions: the users' platform's store, or a fake.
struct Store {
  std::function<void(const std::string& key, ReadFreshness freshness,
                     StoreCallback<std::optional<StoredItem>>)>
      m_read;
  /// Lists every item below the prefix. The pages of the listing are joined and
  /// may show the store at different revisions. Each page may take `timeout`.
  std::function<void(const std::string& prefix, Duration timeout,
                     StoreCallback<StoreListing>)>
      m_list;
  /// Completes once a key below the prefix has changed after revision `after`,
  /// or without changes after `wait`. kConflict if the store no longer has the
  /// changes since `after`.
  std::function<void(const std::string& prefix, StoreRevision after,
                     Duration wait, StoreCallback<StoreChanges>)>
      m_watch;
  /// kNotFound if a lease of a put has ended.
  std::function<void(const StoreTransaction&, StoreCallback<TransactionResult>)>
      m_commit;
  std::function<void(Duration term, StoreCallback<StoreLeaseId>)> m_grant_lease;
  /// kNotFound if the lease has ended.
  std::function<void(StoreLeaseId lease, StoreCallback<StoreLeaseId>)>
      m_renew_lease;
  std::function<void(StoreLeaseId lease, StoreCallback<StoreLeaseId>)>
      m_revoke_lease;
};

}  // namespace daisyarch
