#include "flood_bench.h"

#include <deque>
#include <map>
#include <queue>

#include "base/random.h"
#include "decisions/admission/admission.h"
#include "decisions/retry/retry_budget.h"

namespace daisyarch {

namespace {

constexpr std::int64_t kSlots = 400;
constexpr double kMeanServiceMicroseconds = 20000;
/// Offered load of a class without overload, as a share of all slots.
constexpr double kNormalQuoteLoad = 0.4;
constexpr double kNormalReportLoad = 0.2;
constexpr double kOverloadFactor = 10;
constexpr int kMembers = 10;
constexpr double kMinimumInTimeShare = 0.99;
constexpr double kMinimumFairness = 0.99;

struct Arrival {
  double m_time = 0;
  int m_class = 0;  ///< 0 for quotes, 1 for reports.
  int m_member = 0;
};

/// The offered load, as a share of all slots.
struct Scenario {
  double m_quote_load = kNormalQuoteLoad;
  double m_report_load = kNormalReportLoad;
  /// Rate of quotes from member 0, as a multiple of each other member's.
  double m_first_member_factor = 1;
};

std::vector<Arrival> MakeArrivals(const Scenario& scenario, std::uint64_t seed,
                                  double seconds) {
  Random random{seed};
  std::vector<Arrival> arrivals;
  const double full_load_rate = kSlots / kMeanServiceMicroseconds;
  const double quote_rate = scenario.m_quote_load * full_load_rate;
  const double report_rate = scenario.m_report_load * full_load_rate;
  const double total_weight = kMembers - 1 + scenario.m_first_member_factor;
  double now = 0;
  while (now < seconds * 1e6) {
    now += NextExponential(random, 1 / (quote_rate + report_rate));
    Arrival arrival;
    arrival.m_time = now;
    const bool is_quote =
        NextUnit(random) * (quote_rate + report_rate) < quote_rate;
    arrival.m_class = is_quote ? 0 : 1;
    const double draw = NextUnit(random) * total_weight;
    arrival.m_member =
        is_quote ? (draw < scenario.m_first_member_factor
                        ? 0
                        : 1 + static_cast<int>(draw -
                                               scenario.m_first_member_factor))
                 : static_cast<int>(NextBelow(random, kMembers));
    arrivals.push_back(arrival);
  }
  return arrivals;
}

/// Requests sent and requests served within the class's target, by class.
struct RequestCounts {
  double m_sent[2] = {0, 0};
  double m_in_time[2] = {0, 0};
  std::map<int, double> m_quotes_in_time;  ///< By member.
  std::map<int, double> m_quotes_sent;
};

/// The latency target of each class.
constexpr double kTargetMicroseconds[2] = {500000, 5000000};

void CountSent(RequestCounts& counts, const Arrival& arrival) {
  ++counts.m_sent[arrival.m_class];
  if (arrival.m_class == 0) ++counts.m_quotes_sent[arrival.m_member];
}

void CountServed(RequestCounts& counts, const Arrival& arrival, double now) {
  if (now - arrival.m_time > kTargetMicroseconds[arrival.m_class]) return;
  ++counts.m_in_time[arrival.m_class];
  if (arrival.m_class == 0) ++counts.m_quotes_in_time[arrival.m_member];
}

Admission MakeAdmission() {
  Configuration configuration;
  ClassTarget quotes;
  quotes.m_class = ClassId("quotes");
  quotes.m_within =
      Duration(static_cast<Duration::rep>(kTargetMicroseconds[0]));
  quotes.m_keep_percent = 60;
  ClassTarget reports;
  reports.m_class = ClassId("reports");
  reports.m_within =
      Duration(static_cast<Duration::rep>(kTargetMicroseconds[1]));
  reports.m_keep_percent = 30;
  configuration.m_classes = {quotes, reports};
  Admission admission;
  ApplyTargets(admission, configuration);
  return admission;
}

/// The time of a completion and the index of its request.
using CompletionEvent = std::pair<double, std::size_t>;
using CompletionQueue =
    std::priority_queue<CompletionEvent, std::vector<CompletionEvent>,
                        std::greater<>>;

TimePoint ToTimePoint(double microseconds) {
  return TimePoint(Duration(static_cast<Duration::rep>(microseconds)) +
                   std::chrono::seconds(100));
}

/// Simulates admission for slots with exponential service times.
class AdmissionSimulation {
 public:
  AdmissionSimulation(const std::vector<Arrival>& arrivals, std::uint64_t seed)
      : m_arrivals(arrivals), m_random{seed}, m_admission(MakeAdmission()) {}

  RequestCounts Run() {
    std::size_t next = 0;
    while (next < m_arrivals.size() || !m_completions.empty()) {
      const bool is_arrival =
          next < m_arrivals.size() &&
          (m_completions.empty() ||
           m_arrivals[next].m_time < m_completions.top().first);
      const double now =
          is_arrival ? m_arrivals[next].m_time : m_completions.top().first;
      if (is_arrival) {
        OfferArrival(next++);
      } else {
        CompleteNextRequest();
      }
      TakeLateRequests(m_admission, ToTimePoint(now));
      StartWaitingRequests(now);
    }
    return m_counts;
  }

 private:
  void OfferArrival(std::size_t index) {
    const Arrival& arrival = m_arrivals[index];
    CountSent(m_counts, arrival);
    const TimePoint now = ToTimePoint(arrival.m_time);
    const WaitingRequest request{
        RequestId(index), ClassId(arrival.m_class == 0 ? "quotes" : "reports"),
        MemberId(std::to_string(arrival.m_member)), now,
        now + std::chrono::seconds(30)};
    (void)OfferRequest(m_admission, request, Slots(kSlots), now);
  }

  void StartWaitingRequests(double now) {
    while (const auto request =
               TakeNextRequest(m_admission, Slots(kSlots - m_in_use),
                               Slots(kSlots), ToTimePoint(now))) {
      ++m_in_use;
      const double service =
          NextExponential(m_random, kMeanServiceMicroseconds);
      m_started_at[request->m_id.value()] = now;
      m_completions.emplace(now + service, request->m_id.value());
    }
  }

  void CompleteNextRequest() {
    const auto [now, index] = m_completions.top();
    m_completions.pop();
    --m_in_use;
    const Arrival& arrival = m_arrivals[index];
    const ClassId class_id(arrival.m_class == 0 ? "quotes" : "reports");
    ReleaseSlot(m_admission, class_id);
    RecordServiceTime(
        m_admission, class_id,
        Duration(static_cast<Duration::rep>(now - m_started_at[index])));
    m_started_at.erase(index);
    CountServed(m_counts, arrival, now);
  }

  const std::vector<Arrival>& m_arrivals;
  Random m_random;
  Admission m_admission;
  RequestCounts m_counts;
  CompletionQueue m_completions;
  std::map<std::size_t, double> m_started_at;
  std::int64_t m_in_use = 0;
};

/// Simulates a first-come, first-served queue of unlimited length.
RequestCounts RunFifo(const std::vector<Arrival>& arrivals,
                      std::uint64_t seed) {
  Random random{seed};
  RequestCounts counts;
  CompletionQueue completions;
  std::deque<std::size_t> waiting;
  std::int64_t in_use = 0;
  std::size_t next = 0;
  while (next < arrivals.size() || !completions.empty()) {
    const bool is_arrival = next < arrivals.size() &&
                            (completions.empty() ||
                             arrivals[next].m_time < completions.top().first);
    double now = 0;
    if (is_arrival) {
      now = arrivals[next].m_time;
      CountSent(counts, arrivals[next]);
      waiting.push_back(next++);
    } else {
      now = completions.top().first;
      CountServed(counts, arrivals[completions.top().second], now);
      completions.pop();
      --in_use;
    }
    while (!waiting.empty() && in_use < kSlots) {
      ++in_use;
      completions.emplace(
          now + NextExponential(random, kMeanServiceMicroseconds),
          waiting.front());
      waiting.pop_front();
    }
  }
  return counts;
}

/// Returns the quotes served in time for each member except member 0.
std::vector<double> OtherMembersInTime(const RequestCounts& counts) {
  std::vector<double> amounts;
  for (int member = 1; member < kMembers; ++member) {
    const auto found = counts.m_quotes_in_time.find(member);
    amounts.push_back(found == counts.m_quotes_in_time.end() ? 0
                                                             : found->second);
  }
  return amounts;
}

/// Returns the share of the quotes of all members except member 0 that are
/// served in time.
double OtherMembersInTimeShare(const RequestCounts& counts) {
  double sent = 0;
  double in_time = 0;
  for (const auto& [member, count] : counts.m_quotes_sent) {
    if (member != 0) sent += count;
  }
  for (const double count : OtherMembersInTime(counts)) in_time += count;
  return in_time / sent;
}

}  // namespace

void BenchOverload(BenchTable& table) {
  const double seconds = table.m_is_short ? 5 : 30;
  constexpr std::uint64_t kSeed = 1;

  // The load of reports is ten times the capacity.
  Scenario reports_overload;
  reports_overload.m_report_load = kNormalReportLoad * kOverloadFactor * 5;
  const auto reports_arrivals = MakeArrivals(reports_overload, kSeed, seconds);
  const RequestCounts reports_counts =
      AdmissionSimulation(reports_arrivals, kSeed).Run();
  const RequestCounts reports_fifo_counts = RunFifo(reports_arrivals, kSeed);
  AddFigure(table, "floods", "quotes in time, reports at 10x capacity, FIFO",
            reports_fifo_counts.m_in_time[0] / reports_fifo_counts.m_sent[0],
            "share");
  AddBoundedFigure(table, "floods", "quotes in time, reports at 10x capacity",
                   reports_counts.m_in_time[0] / reports_counts.m_sent[0],
                   "share", BoundKind::kAtLeast, kMinimumInTimeShare);

  Scenario quotes_overload;
  quotes_overload.m_quote_load = kOverloadFactor;
  const auto quotes_arrivals = MakeArrivals(quotes_overload, kSeed, seconds);
  const RequestCounts quotes_counts =
      AdmissionSimulation(quotes_arrivals, kSeed).Run();
  const RequestCounts quotes_fifo_counts = RunFifo(quotes_arrivals, kSeed);
  AddFigure(table, "floods", "reports in time, quotes at 10x capacity, FIFO",
            quotes_fifo_counts.m_in_time[1] / quotes_fifo_counts.m_sent[1],
            "share");
  AddBoundedFigure(table, "floods", "reports in time, quotes at 10x capacity",
                   quotes_counts.m_in_time[1] / quotes_counts.m_sent[1],
                   "share", BoundKind::kAtLeast, kMinimumInTimeShare);
  std::vector<double> members = OtherMembersInTime(quotes_counts);
  AddBoundedFigure(
      table, "floods", "Jain's index, equal members, quotes at 10x capacity",
      JainIndex(members), "index", BoundKind::kAtLeast, kMinimumFairness);

  Scenario member_overload;
  member_overload.m_quote_load = kOverloadFactor * kNormalQuoteLoad;
  member_overload.m_first_member_factor = 50;
  const auto member_arrivals = MakeArrivals(member_overload, kSeed, seconds);
  const RequestCounts member_counts =
      AdmissionSimulation(member_arrivals, kSeed).Run();
  const RequestCounts member_fifo_counts = RunFifo(member_arrivals, kSeed);
  AddFigure(table, "floods", "other members in time, one member at 50x, FIFO",
            OtherMembersInTimeShare(member_fifo_counts), "share");
  AddBoundedFigure(table, "floods", "other members in time, one member at 50x",
                   OtherMembersInTimeShare(member_counts), "share",
                   BoundKind::kAtLeast, kMinimumInTimeShare);
  AddBoundedFigure(table, "floods",
                   "Jain's index, other members, one member at 50x",
                   JainIndex(OtherMembersInTime(member_counts)), "index",
                   BoundKind::kAtLeast, kMinimumFairness);
}

void BenchRetries(BenchTable& table) {
  constexpr int kRequests = 100000;
  constexpr double kMaximumSendsPerRequest = 1.1;
  Random random{1};
  RetryBudget budget;
  int sends = 0;
  int fixed_retry_sends = 0;
  for (int request = 0; request < kRequests; ++request) {
    CountRequest(budget);
    // Half of the endpoints fail, so each send fails with probability 0.5.
    ++sends;
    while (NextUnit(random) < 0.5 && SpendRetry(budget)) ++sends;
    ++fixed_retry_sends;
    for (int retry = 0; retry < 3 && NextUnit(random) < 0.5; ++retry) {
      ++fixed_retry_sends;
    }
  }
  AddFigure(table, "retries",
            "sends per request, half of endpoints failing, 3 retries",
            static_cast<double>(fixed_retry_sends) / kRequests, "ratio");
  AddBoundedFigure(table, "retries",
                   "sends per request, half of endpoints failing",
                   static_cast<double>(sends) / kRequests, "ratio",
                   BoundKind::kAtMost, kMaximumSendsPerRequest);
}

}  // namespace daisyarch
