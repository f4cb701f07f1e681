#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "case_http.h"

namespace review {

using Clock = std::chrono::steady_clock;
using Ports = std::map<std::string, std::uint16_t>;

/// A node of the system, started as the deploy file says.
struct Node {
  std::string m_name;
  std::string m_settings;  ///< Path of its settings file.
  std::uint16_t m_callers = 0;
  std::uint16_t m_ready = 0;
  pid_t m_pid = -1;  ///< -1: it does not run.
};

/// What one case starts and writes.
struct Site {
  std::string m_root;    ///< Of the repository.
  std::string m_build;   ///< Where the stand-ins are.
  std::string m_folder;  ///< A temporary one.
  std::ofstream m_record;
  Clock::time_point m_began_at = Clock::now();
  Ports m_store;
  Ports m_workers;
  Ports m_links;  ///< Of the proxy, if there is one.
  std::vector<pid_t> m_standins;
  std::vector<Node> m_nodes;
  std::string m_memory_mb = "260";
  std::string m_share = "0.1";
};

/// Writes a line, with the seconds since the case began, into the record.
void Note(Site& site, const std::string& line);
double Seconds(const Site& site);
void Sleep(int milliseconds);

/// Reads the words ROOT BUILD RECORD of the command line and makes the folder.
bool OpenSite(Site& site, int count, char** words);
/// Starts a program with so many descriptors; 0: as many as this one. Its
/// output goes to NAME.log in the folder.
pid_t Start(Site& site, const std::string& name,
            const std::vector<std::string>& words, rlim_t descriptors = 0);
/// Starts a stand-in that prints its ports.
bool StartStandin(Site& site, const std::string& name,
                  const std::vector<std::string>& words, std::size_t ports,
                  Ports& found);
bool StartStore(Site& site);
/// Starts the project's stand-in of the workers and lets them begin; with
/// links, a proxy stands between the nodes and each of them.
bool StartWorkers(Site& site, int count, bool has_links = false);
/// Writes the configuration, as the operator does.
void PutConfiguration(Site& site);
void AddNode(Site& site, const std::string& name);
void StartNode(Site& site, Node& node);
void KillNode(Site& site, Node& node, int signal);
/// Returns whether the node's process has ended by itself.
bool HasEnded(Node& node);
/// Returns the memory that the process holds, in MB; 0 if it does not run.
double MemoryOf(const Node& node);
/// Waits until all nodes answer that they are ready.
bool WaitUntilReady(Site& site, int seconds);
/// Returns the value of the store's key; empty if there is none.
std::string ValueAt(Site& site, const std::string& key);
/// Returns the index of the node that the store names as leader; -1: none.
int LeaderOf(Site& site);
/// Copies what the workers have seen into the record: each start and end of a
/// run and each beginning and end of a worker, in the order of time.
void NoteRuns(Site& site);
/// Ends all that was started.
void EndSite(Site& site);
/// Returns whether the disruption is to be left out.
bool IsCalm();
std::string StateOf(const Answer& answer);

}  // namespace review
