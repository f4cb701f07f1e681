#pragma once

#include <map>
#include <string>

#include "http/http_message.h"

namespace daisyarch {

/// What one node reads in the store as the workers' addresses, so that each
/// node has a link of its own to each worker.
struct StoreView {
  std::map<std::string, std::string> m_link_of;    ///< By a worker's address.
  std::map<std::string, std::string> m_worker_of;  ///< By a link's address.
};

void AddLink(StoreView& view, const std::string& worker,
             const std::string& link);

/// Replaces the addresses of links that the node writes by the workers'.
HttpRequest ToStore(const StoreView& view, HttpRequest request);

/// Replaces the workers' addresses that the node reads by its links'.
HttpResponse FromStore(const StoreView& view, HttpResponse response);

}  // namespace daisyarch
