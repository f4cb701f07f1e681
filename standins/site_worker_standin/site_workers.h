#pragma once

#include <fstream>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "http/http_client.h"
#include "site_gang.h"
#include "wire/json.h"

namespace daisyarch {

/// All workers of the process, and what they share. The record holds a line for
/// each start, end, acknowledgement, crash and beginning of a worker, in the
/// order in which they happened.
struct SiteWorkers {
  explicit SiteWorkers(boost::asio::io_context& loop) : m_loop(loop) {}

  /// The job, its occurrence, the step and the run.
  using GangKey =
      std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint64_t>;

  boost::asio::io_context& m_loop;
  std::ofstream m_record;
  std::unique_ptr<HttpClient> m_store;  ///< Where the workers are listed.
  std::vector<std::unique_ptr<SiteWorker>> m_workers;
  std::map<GangKey, SiteGang> m_gangs;
};

/// Adds a worker with a server of its own, which answers nothing yet.
Result<void> AddWorker(SiteWorkers& workers, const std::string& name);

/// Handles an order of the driver: /begin (worker, address, id, zone) or
/// /restart (worker, id, down_ms, withhold_ms, late_ms). For the last
/// `withhold_ms`, calls are held; the next life takes them within `late_ms`.
Json HandleControl(SiteWorkers& workers, const std::string& path,
                   const Json& body);

/// Ends runs, answers polls, restarts workers and writes their entries.
void Tick(SiteWorkers& workers, TimePoint now);

}  // namespace daisyarch
