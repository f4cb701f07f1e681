#pragma once

#include <list>
#include <string>

#include "http/http_message.h"
#include "models/fleet_store_model.h"

namespace daisyarch {

/// A watch that waits for a change below its prefix.
struct SiteWatch {
  std::string m_prefix;
  StoreRevision m_after;
  TimePoint m_until{};
  HttpResponder m_respond;
};

/// The users' store: its state and the watches that wait.
struct SiteStore {
  FleetStoreModel m_model;
  std::list<SiteWatch> m_watches;
};

/// Handles one call of the users' protocol.
void HandleCall(SiteStore& store, const HttpRequest& request,
                const HttpResponder& respond);

/// Writes or removes a key without conditions, as operator and workers do.
void PutKey(SiteStore& store, const std::string& key, const std::string& value);

/// Ends leases, answers watches and drops old history.
void Tick(SiteStore& store, TimePoint now);

}  // namespace daisyarch
