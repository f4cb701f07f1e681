#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

namespace daisyarch {

struct StoredItem {
  std::string m_key;
  std::string m_value;
  StoreRevision m_revision;  ///< Of its last change.
};

/// One change of a key; without a value it was removed.
struct StoreChange {
  std::string m_key;
  StoreRevision m_revision;
  std::optional<std::string> m_value;
};

struct StoreListing {
  std::vector<StoredItem> m_items;
  StoreRevision m_as_of;  ///< A watch from here misses nothing.
};

struct StoreChanges {
  std::vector<StoreChange> m_changes;
  StoreRevision m_as_of;
};

/// Revision 0 expects that the key is absent.
struct StoreExpectation {
  std::string m_key;
  StoreRevision m_revision;
};

struct StorePut {
  std::string m_key;
  std::string m_value;
  StoreLeaseId m_lease;  ///< 0: the key outlives its writer.
};

/// Takes effect as a whole if every expectation holds.
struct StoreTransaction {
  std::vector<StoreExpectation> m_expectations;
  std::vector<StorePut> m_puts;
  std::vector<std::string> m_removals;
};

/// Entries of all three kinds together that one transaction may have.
constexpr std::size_t kMaximumTransactionEntries = 32;

struct TransactionResult {
  bool m_is_applied = false;
  StoreRevision m_revision;  ///< Of the puts, when applied.
  std::vector<StoredItem>
      m_current_items;  ///< Expected keys that exist, when not.
};

enum class ReadFreshness {
  kCurrent,
  kPossiblyStale,  ///< Cheaper; may be seconds old.
};

/// Takes an answer. kUnavailable: certainly without effect.
/// kOutcomeUnknown: the effect may have taken place, or may still.
template <typename Value>
using StoreCallback = std::function<void(Result<Value>)>;

/// A key-value store with transactions: the platform's, or a fake.
struct Store {
  std::function<void(const std::string& key, ReadFreshness freshness,
                     StoreCallback<std::optional<StoredItem>>)>
      m_read;
  /// Every item below the prefix; pages are joined, and need not belong to
  /// one moment. Each page may take `patience`.
  std::function<void(const std::string& prefix, Duration patience,
                     StoreCallback<StoreListing>)>
      m_list;
  /// Answers once something below the prefix changed after `after`, or empty
  /// after `wait`. kConflict when that history is gone.
  std::function<void(const std::string& prefix, StoreRevision after,
                     Duration wait, StoreCallback<StoreChanges>)>
      m_watch;
  /// kNotFound when a lease has ended.
  std::function<void(const StoreTransaction&, StoreCallback<TransactionResult>)>
      m_commit;
  std::function<void(Duration term, StoreCallback<StoreLeaseId>)> m_grant_lease;
  /// kNotFound when the lease has ended.
  std::function<void(StoreLeaseId lease, StoreCallback<StoreLeaseId>)>
      m_renew_lease;
  std::function<void(StoreLeaseId lease, StoreCallback<StoreLeaseId>)>
      m_revoke_lease;
};

}  // namespace daisyarch
