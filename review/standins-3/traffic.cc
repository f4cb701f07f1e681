#include "traffic.h"

#include <cstdio>

namespace review {

namespace {

const char* const kShortJob =
    "{\"spec\":\"short;300,0,0\",\"steps\":[{\"count\":1,\"cpu\":500,"
    "\"mem_mb\":256,\"est_ms\":300}]}";

}  // namespace

bool BeginTraffic(Traffic& traffic, int workers) {
  Site& site = traffic.m_site;
  if (!StartStore(site) || !StartWorkers(site, workers)) return false;
  PutConfiguration(site);
  for (const char* name : {"n1", "n2", "n3"}) AddNode(site, name);
  for (Node& node : site.m_nodes) StartNode(site, node);
  if (!WaitUntilReady(site, 20)) return false;
  for (int tries = 0; tries < 100 && LeaderOf(site) < 0; ++tries) Sleep(100);
  return LeaderOf(site) >= 0;
}

Node& NextNode(Traffic& traffic) {
  auto& nodes = traffic.m_site.m_nodes;
  traffic.m_last_node = (traffic.m_last_node + 1) % nodes.size();
  return nodes[traffic.m_last_node];
}

bool Submit(Traffic& traffic, const std::string& id, const std::string& body) {
  for (int tries = 0; tries < 5; ++tries) {
    const Node& node = NextNode(traffic);
    const Answer answer =
        Ask(node.m_callers, "POST", "/jobs/" + id, body, 3000);
    Note(traffic.m_site, "POST " + id + " at " + node.m_name + " -> " +
                             std::to_string(answer.m_status));
    if (answer.m_status / 100 == 2) return true;
  }
  return false;
}

void SubmitShort(Traffic& traffic) {
  char id[17];
  std::snprintf(id, sizeof id, "a%015x", ++traffic.m_number);
  if (!Submit(traffic, id, kShortJob)) return;
  ++traffic.m_accepted;
  traffic.m_open.insert(id);
}

void AskForOpen(Traffic& traffic) {
  const std::set<std::string> open = traffic.m_open;
  for (const std::string& id : open) {
    const Node& node = NextNode(traffic);
    const Answer answer = Ask(node.m_callers, "GET", "/jobs/" + id, "", 2000);
    const std::string state = StateOf(answer);
    if (state != "completed") {
      Note(traffic.m_site, "GET " + id + " at " + node.m_name + " -> " +
                               std::to_string(answer.m_status) + " " + state);
      continue;
    }
    ++traffic.m_completed;
    traffic.m_open.erase(id);
  }
}

void NoteMemory(Traffic& traffic) {
  std::string line = "memory, MB:";
  for (const Node& node : traffic.m_site.m_nodes) {
    line += " " + node.m_name + " " +
            std::to_string(static_cast<int>(MemoryOf(node)));
  }
  const int leader = LeaderOf(traffic.m_site);
  const auto index = static_cast<std::size_t>(leader < 0 ? 0 : leader);
  line += leader < 0 ? "; no leader"
                     : "; leader " + traffic.m_site.m_nodes[index].m_name;
  Note(traffic.m_site, line);
}

}  // namespace review
