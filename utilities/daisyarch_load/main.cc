#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "http/http_client.h"

ABSL_FLAG(std::string, daemon, "127.0.0.1:7000",
          "HTTP addresses of daemons, separated by commas");
ABSL_FLAG(std::string, request_class, "quotes", "class of the requests");
ABSL_FLAG(int, members, 4,
          "number of members; see --flood_factor for their rates");
ABSL_FLAG(int, flood_factor, 1,
          "rate of the first member, as a multiple of each other member's");
ABSL_FLAG(double, rate, 200, "requests per second of all members together");
ABSL_FLAG(int, seconds, 5, "for how many seconds to send");
ABSL_FLAG(int, body_bytes, 100, "size of each request's body");
ABSL_FLAG(int, seed, 1, "seed of the random arrival times and members");

namespace daisyarch {
namespace {

/// The requests of one member, by outcome.
struct MemberOutcomes {
  std::uint64_t m_served = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_unknown = 0;  ///< No response, or status 504.
};

/// Sends requests at random times, whether or not earlier ones have been
/// answered (open loop).
struct LoadGenerator {
  boost::asio::io_context& m_loop;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  Random m_random;
  std::map<int, MemberOutcomes> m_member_outcomes;
  std::vector<double> m_latencies_ms;  ///< Of served requests.
  std::uint64_t m_sent = 0;
  std::uint64_t m_in_flight = 0;
  std::uint64_t m_mismatched = 0;  ///< Answers with a wrong body.
  bool m_is_sending = true;
};

constexpr Duration kResponseTimeout = std::chrono::seconds(35);
constexpr double kMicrosecondsPerSecond = 1e6;

void RecordOutcome(LoadGenerator& load, int member, const std::string& body,
                   std::chrono::steady_clock::time_point sent_at,
                   const Result<HttpResponse>& result) {
  --load.m_in_flight;
  MemberOutcomes& outcomes = load.m_member_outcomes[member];
  if (!result || result.assume_value().m_status == 504) {
    ++outcomes.m_unknown;
  } else if (result.assume_value().m_status != 200) {
    ++outcomes.m_refused;
  } else {
    ++outcomes.m_served;
    if (result.assume_value().m_body != body) ++load.m_mismatched;
    const std::chrono::duration<double, std::milli> latency =
        std::chrono::steady_clock::now() - sent_at;
    load.m_latencies_ms.push_back(latency.count());
  }
  if (!load.m_is_sending && load.m_in_flight == 0) load.m_loop.stop();
}

/// Chooses a member at random. Member 0 is `flood_factor` times as likely as
/// each other member.
int ChooseMember(LoadGenerator& load) {
  const auto factor =
      static_cast<std::uint64_t>(absl::GetFlag(FLAGS_flood_factor));
  const auto others =
      static_cast<std::uint64_t>(absl::GetFlag(FLAGS_members)) - 1;
  const std::uint64_t draw = NextBelow(load.m_random, factor + others);
  return draw < factor ? 0 : static_cast<int>(draw - factor + 1);
}

void SendRequest(LoadGenerator& load) {
  const int member = ChooseMember(load);
  const std::uint64_t number = ++load.m_sent;
  std::string body = std::to_string(number);
  body.resize(std::max<std::size_t>(
                  body.size(),
                  static_cast<std::size_t>(absl::GetFlag(FLAGS_body_bytes))),
              '.');
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/";
  request.m_headers.emplace_back("X-Daisyarch-Class",
                                 absl::GetFlag(FLAGS_request_class));
  request.m_headers.emplace_back("X-Daisyarch-Member",
                                 "member-" + std::to_string(member));
  request.m_body = body;
  ++load.m_in_flight;
  const auto sent_at = std::chrono::steady_clock::now();
  load.m_clients[number % load.m_clients.size()]->Send(
      std::move(request), kResponseTimeout,
      [&load, member, body, sent_at](const Result<HttpResponse>& result) {
        RecordOutcome(load, member, body, sent_at, result);
      });
}

/// Returns the quantile of the sorted values, or 0 when there are none.
double Quantile(std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * quantile)];
}

void PrintReport(LoadGenerator& load) {
  std::sort(load.m_latencies_ms.begin(), load.m_latencies_ms.end());
  std::printf("sent %llu wrong %llu\n",
              static_cast<unsigned long long>(load.m_sent),
              static_cast<unsigned long long>(load.m_mismatched));
  std::printf(
      "latency_ms p50 %.2f p90 %.2f p99 %.2f max %.2f\n",
      Quantile(load.m_latencies_ms, 0.5), Quantile(load.m_latencies_ms, 0.9),
      Quantile(load.m_latencies_ms, 0.99), Quantile(load.m_latencies_ms, 1.0));
  for (const auto& [member, outcomes] : load.m_member_outcomes) {
    std::printf("member-%d served %llu refused %llu unknown %llu\n", member,
                static_cast<unsigned long long>(outcomes.m_served),
                static_cast<unsigned long long>(outcomes.m_refused),
                static_cast<unsigned long long>(outcomes.m_unknown));
  }
}

/// Returns the exit status: 0, or 2 when an address is invalid.
int OpenClients(LoadGenerator& load) {
  const std::string address_list = absl::GetFlag(FLAGS_daemon);
  std::size_t start = 0;
  while (start <= address_list.size()) {
    const std::size_t comma =
        std::min(address_list.find(',', start), address_list.size());
    const auto address =
        ParseAddress(address_list.substr(start, comma - start));
    if (!address) {
      std::cerr << "daisyarch_load: " << ToString(address.assume_error())
                << "\n";
      return 2;
    }
    load.m_clients.push_back(std::make_unique<HttpClient>(
        load.m_loop, address.assume_value(), HttpClientLimits()));
    start = comma + 1;
  }
  return 0;
}

int Run() {
  const bool are_flags_valid = absl::GetFlag(FLAGS_members) >= 1 &&
                               absl::GetFlag(FLAGS_rate) > 0 &&
                               absl::GetFlag(FLAGS_flood_factor) >= 1;
  if (!are_flags_valid) {
    std::cerr << "daisyarch_load: --members, --rate and --flood_factor must be "
                 "positive\n";
    return 2;
  }
  boost::asio::io_context loop(1);
  LoadGenerator load{loop};
  load.m_random.m_state = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
  if (const int status = OpenClients(load); status != 0) return status;
  const auto begin = std::chrono::steady_clock::now();
  const auto end = begin + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  auto next_arrival = begin;
  boost::asio::steady_timer timer(loop);
  // The arrival times do not depend on the timer: when it fires late, all
  // requests that are due are sent together.
  std::function<void()> send_due_requests = [&] {
    while (next_arrival <= std::chrono::steady_clock::now() &&
           next_arrival < end) {
      SendRequest(load);
      const double interval_us = NextExponential(
          load.m_random, kMicrosecondsPerSecond / absl::GetFlag(FLAGS_rate));
      next_arrival += Duration(static_cast<Duration::rep>(interval_us));
    }
    if (next_arrival >= end) {
      load.m_is_sending = false;
      if (load.m_in_flight == 0) loop.stop();
      return;
    }
    timer.expires_at(next_arrival);
    timer.async_wait([&send_due_requests](boost::system::error_code) {
      send_due_requests();
    });
  };
  send_due_requests();
  loop.run();
  PrintReport(load);
  return 0;
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage("daisyarch_load --daemon=IP:PORT[,IP:PORT]");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
