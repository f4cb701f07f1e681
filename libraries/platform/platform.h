#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"

namespace daisyarch {

/// One key of the store; version 0 means that it is absent.
struct StoreEntry {
  StoreVersion m_version;
  std::string m_value;
};

/// What a compare-and-swap came to: the entry is the one that now stands.
struct SwapResult {
  bool m_is_swapped = false;
  StoreEntry m_entry;
};

/// A host of the platform's list. The list lags.
struct ListedWorker {
  WorkerId m_worker;
  std::string m_address;
  FailureDomainId m_failure_domain;
  std::string m_rack;
  Resources m_capacity;
  bool m_is_leaving = false;
};

struct ListedEndpoint {
  EndpointId m_endpoint;
  std::string m_address;
  FailureDomainId m_failure_domain;
  Slots m_slots;
  bool m_is_leaving = false;
};

struct HostList {
  std::vector<ListedWorker> m_workers;
  std::vector<ListedEndpoint> m_endpoints;
};

/// Takes an answer. kUnavailable: certainly without effect.
/// kOutcomeUnknown: the effect may have taken place, or may still.
template <typename Value>
using PlatformCallback = std::function<void(Result<Value>)>;

/// The platform's service: the real one over HTTP, or a fake.
struct Platform {
  std::function<void(const std::string& key, PlatformCallback<StoreEntry>)>
      m_read;
  /// Writes if the key stands at `expected`. With a lease, the key goes when
  /// the lease does.
  std::function<void(const std::string& key, StoreVersion expected,
                     std::string value, StoreLeaseId lease,
                     PlatformCallback<SwapResult>)>
      m_compare_and_swap;
  /// Answers once the key's version is above `known`, or after `wait` with
  /// the entry as it stands.
  std::function<void(const std::string& key, StoreVersion known, Duration wait,
                     PlatformCallback<StoreEntry>)>
      m_watch;
  std::function<void(Duration term, PlatformCallback<StoreLeaseId>)>
      m_grant_lease;
  /// kNotFound when the lease has lapsed.
  std::function<void(StoreLeaseId lease, PlatformCallback<StoreLeaseId>)>
      m_renew_lease;
  std::function<void(StoreLeaseId lease, PlatformCallback<StoreLeaseId>)>
      m_revoke_lease;
  std::function<void(PlatformCallback<HostList>)> m_list_hosts;
};

}  // namespace daisyarch
