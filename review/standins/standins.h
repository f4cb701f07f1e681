#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins of the users' platform, executors and clients for the cases of the
/// review. All of them listen on loopback addresses and use the real clock.
namespace review {

using Json = nlohmann::json;

/// Milliseconds on the steady clock.
std::int64_t NowMs();
std::int64_t UnixMs();
void SleepMs(std::int64_t milliseconds);
/// Polls until the condition holds; false after the time limit.
bool WaitUntil(std::int64_t limit_ms, const std::function<bool()>& condition);
/// Returns whether the case runs with its disruption (TROUBLE is not 0).
bool HasTrouble();

/// Writes what was sent, answered and run to record.txt.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  std::int64_t m_started_at;
};

struct Request {
  std::string m_method;
  std::string m_target;
  std::string m_body;
};

/// Status 0: no answer, until the peer closes the connection. Status -1: the
/// connection is closed without an answer.
struct Response {
  int m_status = 200;
  std::string m_body;
};

using Handler = std::function<Response(const Request&)>;

/// A server with one thread per connection.
class Server {
 public:
  explicit Server(Handler handler, std::uint16_t port = 0);
  ~Server();
  std::uint16_t port() const { return m_port; }
  /// Closes the listening socket and all connections.
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  Handler m_handler;
  std::uint16_t m_port = 0;
  int m_listener = -1;
  std::atomic<bool> m_is_stopped{false};
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  std::vector<std::thread> m_threads;
};

/// Returns a port of 127.0.0.1 that was free a moment ago.
std::uint16_t FreePort();

/// Sends a request on a new connection. Status 0: no complete answer in time.
Response Send(std::uint16_t port, const std::string& method,
              const std::string& target, const std::string& host,
              const std::string& body, std::int64_t timeout_ms);

/// The platform's metadata store.
class Store {
 public:
  Store();
  std::uint16_t port() const { return m_server->port(); }
  /// Writes or removes a key without conditions, as operator and executors do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Returns the decoded value, or "".
  std::string Get(const std::string& key);
  /// The largest value that the store takes, in bytes.
  static constexpr std::size_t kValueBytes = 1048576;
  /// Writes that were rejected for a value over the limit.
  std::atomic<int> m_oversized_writes{0};

 private:
  struct Item {
    std::string m_value;  // base64
    std::int64_t m_revision = 0;
    std::int64_t m_created = 0;
    std::int64_t m_lease = 0;
  };
  struct Lease {
    std::int64_t m_term_ms = 0;
    std::int64_t m_ends_at = 0;
  };

  Response Handle(const Request& request);
  Response ReadKey(const std::string& key);
  Response ReadRange(const std::string& prefix, const std::string& after);
  Response Watch(const std::string& prefix, std::int64_t after,
                 std::int64_t wait_ms);
  Response Commit(const Json& transaction);
  Response GrantLease(std::int64_t term_ms);
  Response KeepLease(std::int64_t id);
  Response EndLease(std::int64_t id);
  void ExpireLeases();
  void Write(const std::string& key, const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  Json ItemOf(const std::string& key) const;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::deque<Json> m_history;
  std::int64_t m_revision = 100;
  std::int64_t m_next_lease = 1;
  std::unique_ptr<Server> m_server;
};

std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

/// One executor, which keeps its id over restarts.
class Executor {
 public:
  struct Room {
    std::int64_t m_processors = 0;  // thousandths of a core
    std::int64_t m_memory = 256000;
  };
  struct Run {
    std::int64_t m_run = 0;
    std::int64_t m_ends_at = 0;
  };

  Executor(Store& store, Record& record, std::string id, Room room,
           std::vector<std::string> labels);
  ~Executor();

  /// Ends the process: connections are reset and new ones refused.
  void Crash();
  /// The machine answers nothing and its process is gone.
  void LosePower();
  /// Starts the process again under the same id.
  void Restart();
  void Restart(std::vector<std::string> labels);

  /// Cuts the executor off from the nodes, but not from the store, or heals the
  /// cut. While it is cut off, it can crash and start again.
  void SetCut(bool is_cut);

  const std::string& id() const { return m_id; }
  bool IsUp();
  /// Called for each task that starts, with the labels that the executor has.
  /// The lock is held.
  std::function<void(const std::string& task,
                     const std::vector<std::string>& labels)>
      m_on_start;
  /// Returns after how many milliseconds an order is carried out without an
  /// answer; 0: it is answered at once. The lock is held.
  std::function<std::int64_t(const std::string& path, const Json& order)>
      m_delay_of;
  /// Returns how long the task works, in milliseconds.
  std::function<std::int64_t(const std::string& task)> m_work_of;
  /// How the work ends.
  std::function<std::string(const std::string& task)> m_end_of;

  std::size_t CountUnacknowledgedEnds();
  std::size_t CountEnds();
  std::size_t CountRunning();

 private:
  Response Handle(const Request& request);
  Response CarryOut(const std::string& path, const Json& order,
                    std::unique_lock<std::mutex>& lock);
  Response Start(const Json& order);
  Response Stop(const Json& order);
  Response Hold(const Json& order, std::unique_lock<std::mutex>& lock);
  void Begin();
  void Advance();
  void End(const std::string& task, const std::string& how);
  void Tick();
  std::int64_t Clock() const;
  void Publish();
  Response Reject(const char* reason) const;

  struct LateOrder {
    std::int64_t m_due_at = 0;
    std::string m_path;
    Json m_order;
  };

  Store& m_store;
  Record& m_record;
  std::string m_id;
  Room m_room;
  std::vector<std::string> m_labels;
  std::mutex m_mutex;
  std::condition_variable m_has_ended;
  bool m_is_up = false;
  bool m_is_dark = false;
  bool m_is_cut = false;
  std::int64_t m_silent_since = 0;
  bool m_is_listed = false;
  std::int64_t m_born = 0;
  std::int64_t m_began_at = 0;
  std::int64_t m_epoch = 0;
  std::int64_t m_fence = 0;
  std::int64_t m_deadline = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::int64_t> m_closed;
  std::deque<Json> m_finished;
  std::vector<LateOrder> m_late_orders;
  std::int64_t m_last_end = 0;
  std::uint16_t m_port = 0;
  std::unique_ptr<Server> m_server;
  std::atomic<bool> m_is_stopped{false};
  std::thread m_ticker;
};

/// The project's nodes, as separate processes that the platform restarts.
class Nodes {
 public:
  /// `root` is the repository, `folder` takes settings and logs.
  Nodes(Record& record, std::string root, std::string folder, Store& store,
        int count, std::int64_t memory_mb);
  ~Nodes();
  std::uint16_t port(int node) const { return m_nodes[node].m_client_port; }
  int count() const { return static_cast<int>(m_nodes.size()); }
  bool IsReady(int node);
  /// How often the process of the node has ended without a signal of the case.
  int EndsOf(int node);
  /// Sends the signal to the node's process.
  void Signal(int node, int signal);

 private:
  struct Node {
    std::string m_name;
    std::uint16_t m_client_port = 0;
    std::uint16_t m_ready_port = 0;
    std::uint16_t m_metrics_port = 0;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = -1;
    std::int64_t m_start_at = 0;
    int m_ends = 0;
  };

  void Launch(Node& node);
  void Supervise();

  Record& m_record;
  std::string m_root;
  std::int64_t m_memory_mb;
  std::mutex m_mutex;
  std::vector<Node> m_nodes;
  std::atomic<bool> m_is_stopped{false};
  std::thread m_supervisor;
};

/// Arguments of each case: the repository, a temporary folder and the record.
struct Arguments {
  std::string m_root;
  std::string m_folder;
  std::string m_record;
};
Arguments ReadArguments(int count, char** words);

/// Exit status of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// The configuration of one queue at http://queue.example/jobs/.
void WriteConfiguration(Store& store, int maximum_attempts);
constexpr const char* kHost = "queue.example";
constexpr const char* kPrefix = "/jobs/";
/// Returns a job id of 16 hexadecimal digits.
std::string JobId(int number);
/// Submits a job as clients do: after no answer, a broken connection, a 502 or
/// a 504 the same request arrives again, at the next node. Returns the last
/// status.
int Submit(Record& record, Nodes& nodes, int first_node, const std::string& id,
           const std::string& body, int retries = 4);
/// Returns the state, or the status if there is none.
std::string StateOf(Record& record, Nodes& nodes, int node,
                    const std::string& id);

}  // namespace review
