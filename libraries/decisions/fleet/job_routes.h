#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Maps the requests of one host under one path prefix to a queue.
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

/// Returns the route of `host` with the longest matching prefix; nullptr if
/// none matches.
const JobRoute* FindRoute(const JobRoutes& routes, const std::string& host,
                          const std::string& path);

/// Returns the queues of all routes.
std::map<QueueId, Queue> QueuesOf(const JobRoutes& routes);

}  // namespace daisyarch::fleet
