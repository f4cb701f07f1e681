#pragma once

#include <set>
#include <string>

#include "case_site.h"

namespace review {

/// Clients that hand in short jobs, ask for their states, and go to the next
/// node with each request.
struct Traffic {
  Site m_site;
  std::set<std::string> m_open;  ///< Accepted, and not seen to be completed.
  int m_number = 0;
  int m_accepted = 0;
  int m_completed = 0;
  std::size_t m_last_node = 0;
};

/// Starts the store, the executors and three nodes; waits until one leads.
bool BeginTraffic(Traffic& traffic, int workers);
Node& NextNode(Traffic& traffic);
/// Sends the job until a node accepts it, five times at most, as clients do.
bool Submit(Traffic& traffic, const std::string& id, const std::string& body);
/// Hands in a job of one task of 0.3 s.
void SubmitShort(Traffic& traffic);
/// Asks for the states of the short jobs that are open.
void AskForOpen(Traffic& traffic);
/// Writes the memory of each node, and which one leads, into the record.
void NoteMemory(Traffic& traffic);

}  // namespace review
