#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Which requests belong to a queue.
struct JobRoute {
  std::string m_host;
  std::string m_prefix;
  Queue m_queue;
};

/// One version of the operators' configuration.
struct JobRoutes {
  ConfigurationVersion m_version;
  std::vector<JobRoute> m_routes;
  std::size_t m_maximum_body_bytes = 0;
};

/// The route with the longest prefix of `path`; nullptr if there is none.
const JobRoute* FindRoute(const JobRoutes& routes, const std::string& host,
                          const std::string& path);

std::map<QueueId, Queue> QueuesOf(const JobRoutes& routes);

}  // namespace daisyarch::fleet
