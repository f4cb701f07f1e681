#include "decisions/fleet/job_routes.h"

namespace daisyarch::fleet {

const JobRoute* FindRoute(const JobRoutes& routes, const std::string& host,
                          const std::string& path) {
  const JobRoute* longest = nullptr;
  for (const JobRoute& route : routes.m_routes) {
    if (route.m_host != host) continue;
    if (path.compare(0, route.m_prefix.size(), route.m_prefix) != 0) continue;
    if (longest != nullptr &&
        longest->m_prefix.size() >= route.m_prefix.size()) {
      continue;
    }
    longest = &route;
  }
  return longest;
}

std::map<QueueId, Queue> QueuesOf(const JobRoutes& routes) {
  std::map<QueueId, Queue> queues;
  for (const JobRoute& route : routes.m_routes) {
    queues.emplace(route.m_queue.m_id, route.m_queue);
  }
  return queues;
}

}  // namespace daisyarch::fleet
