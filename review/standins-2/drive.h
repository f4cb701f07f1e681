#pragma once

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wire/json.h"

namespace daisyarch::review {

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct Answer {
  int m_status = 0;  ///< 0: no connection, or no complete answer in time.
  std::string m_body;
};

/// A node of the system.
struct Node {
  std::string m_name;
  std::uint16_t m_callers = 0;
  std::uint16_t m_ready = 0;
  std::uint16_t m_metrics = 0;
  std::uint16_t m_relay = 0;
  std::string m_settings;
  pid_t m_pid = -1;
};

/// An event at a worker: "start", "end", "noted", "gone" or "begin"; "over" and
/// "under", when a task's tail passes its target; "fills" and "rests", when
/// tasks that fill begin and cease to work there.
struct WorkerEvent {
  std::int64_t m_at_ms = 0;
  std::string m_event;
  std::string m_worker;
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_how;  ///< Of an end.
};

/// All processes of a case: the store's and the workers' stand-ins and the
/// nodes. Ends them when it is destroyed.
class Site {
 public:
  Site(std::string root, std::string programs, std::string record_file);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Starts all; returns false if something does not start. `configuration` is
  /// the value of op/config.
  bool Start(int nodes, int workers, const std::string& configuration);
  void StartNode(Node& node);
  /// Kills the node's process with SIGKILL and waits for its end.
  void KillNode(Node& node);
  /// Returns whether a process has ended by itself.
  bool HasUnexpectedEnd();

  /// How many of the workers begin with the label "fast"; the others have
  /// "plain". To be set before the start.
  int m_fast_workers = 0;

  std::vector<Node>& nodes() { return m_nodes; }
  /// Returns the index of the node that holds the leadership claim; -1: none.
  int Leader();
  void PutKey(const std::string& key, const std::string& value);
  void RemoveKey(const std::string& key);
  /// Sends an order to the workers' stand-in.
  void ControlWorkers(const std::string& path, const Json& body);

  /// Sends a client's request to a node and records it with its answer.
  Answer Request(const Node& node, const std::string& method,
                 const std::string& path, const std::string& body,
                 int timeout_ms = 3000);
  /// The same, on all nodes in turn until one answers.
  Answer RequestAny(const std::string& method, const std::string& path,
                    const std::string& body);
  /// Returns all that the workers have recorded so far.
  std::vector<WorkerEvent> WorkerEvents() const;
  void Record(const std::string& line);

 private:
  pid_t Spawn(const std::vector<std::string>& words, const std::string& log);
  void EndProcess(pid_t& pid);

  std::string m_root;
  std::string m_programs;
  std::string m_folder;
  std::ofstream m_record;
  std::string m_record_file;
  pid_t m_store_pid = -1;
  pid_t m_workers_pid = -1;
  std::uint16_t m_store = 0;
  std::uint16_t m_store_control = 0;
  std::uint16_t m_workers_control = 0;
  std::vector<int> m_reserved;
  std::vector<Node> m_nodes;
};

/// Milliseconds of the monotonic clock, which the workers record too.
std::int64_t NowMs();
/// Milliseconds since 1970.
std::int64_t UnixMs();
void SleepMs(int milliseconds);

/// Returns whether the environment asks for the run with the disruption.
bool HasTrouble();

/// The host of all queues.
extern const char* const kHost;

struct Queue {
  std::string m_name;
  std::string m_prefix;
  int m_priority = 0;
  int m_attempts = 3;
};
std::string Configuration(int version, const std::vector<Queue>& queues);

/// Runs a case: `run` returns one of the exit statuses.
int Main(int argument_count, char** arguments,
         const std::function<int(Site&)>& run);

}  // namespace daisyarch::review
