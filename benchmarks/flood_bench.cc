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
constexpr double kServiceMicroseconds = 20000;
/// Of the slots, in quiet times.
constexpr double kQuoteLoad = 0.4;
constexpr double kReportLoad = 0.2;
constexpr double kFloodFactor = 10;
constexpr int kMembers = 10;
constexpr double kKeptShare = 0.99;
constexpr double kFairness = 0.99;

struct Arrival {
  double m_time = 0;
  int m_class = 0;
  int m_member = 0;
};

/// Who sends how much.
struct Scenario {
  double m_quote_load = kQuoteLoad;
  double m_report_load = kReportLoad;
  /// Times the others' rate that member 0 sends quotes.
  double m_first_member = 1;
};

std::vector<Arrival> MakeArrivals(const Scenario& scenario, std::uint64_t seed,
                                  double seconds) {
  Random random{seed};
  std::vector<Arrival> arrivals;
  const double per_load = kSlots / kServiceMicroseconds;
  const double quotes = scenario.m_quote_load * per_load;
  const double reports = scenario.m_report_load * per_load;
  const double weights = kMembers - 1 + scenario.m_first_member;
  double now = 0;
  while (now < seconds * 1e6) {
    now += NextExponential(random, 1 / (quotes + reports));
    Arrival arrival;
    arrival.m_time = now;
    const bool is_quote = NextUnit(random) * (quotes + reports) < quotes;
    arrival.m_class = is_quote ? 0 : 1;
    const double draw = NextUnit(random) * weights;
    arrival.m_member =
        is_quote ? (draw < scenario.m_first_member
                        ? 0
                        : 1 + static_cast<int>(draw - scenario.m_first_member))
                 : static_cast<int>(NextBelow(random, kMembers));
    arrivals.push_back(arrival);
  }
  return arrivals;
}

/// Requests that were sent and those served within the class's target.
struct Counts {
  double m_sent[2] = {0, 0};
  double m_in_time[2] = {0, 0};
  std::map<int, double> m_quotes_in_time;  ///< By member.
  std::map<int, double> m_quotes_sent;
};

constexpr double kWithin[2] = {500000, 5000000};

void CountSent(Counts& counts, const Arrival& arrival) {
  ++counts.m_sent[arrival.m_class];
  if (arrival.m_class == 0) ++counts.m_quotes_sent[arrival.m_member];
}

void CountServed(Counts& counts, const Arrival& arrival, double now) {
  if (now - arrival.m_time > kWithin[arrival.m_class]) return;
  ++counts.m_in_time[arrival.m_class];
  if (arrival.m_class == 0) ++counts.m_quotes_in_time[arrival.m_member];
}

Admission MakeAdmission() {
  Configuration configuration;
  ClassTarget quotes;
  quotes.m_class = ClassId("quotes");
  quotes.m_within = Duration(static_cast<Duration::rep>(kWithin[0]));
  quotes.m_keep_percent = 60;
  ClassTarget reports;
  reports.m_class = ClassId("reports");
  reports.m_within = Duration(static_cast<Duration::rep>(kWithin[1]));
  reports.m_keep_percent = 30;
  configuration.m_classes = {quotes, reports};
  Admission admission;
  ApplyTargets(admission, configuration);
  return admission;
}

using Finish = std::pair<double, std::size_t>;
using Finishes =
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>>;

TimePoint At(double microseconds) {
  return TimePoint(Duration(static_cast<Duration::rep>(microseconds)) +
                   std::chrono::seconds(100));
}

/// The admission decisions over slots whose service times are exponential.
class AdmissionRun {
 public:
  AdmissionRun(const std::vector<Arrival>& arrivals, std::uint64_t seed)
      : m_arrivals(arrivals), m_random{seed}, m_admission(MakeAdmission()) {}

  Counts Run() {
    std::size_t next = 0;
    while (next < m_arrivals.size() || !m_finishes.empty()) {
      const bool is_arrival =
          next < m_arrivals.size() &&
          (m_finishes.empty() ||
           m_arrivals[next].m_time < m_finishes.top().first);
      const double now =
          is_arrival ? m_arrivals[next].m_time : m_finishes.top().first;
      if (is_arrival) {
        Offer(next++);
      } else {
        Complete();
      }
      TakeLateRequests(m_admission, At(now));
      Start(now);
    }
    return m_counts;
  }

 private:
  void Offer(std::size_t index) {
    const Arrival& arrival = m_arrivals[index];
    CountSent(m_counts, arrival);
    const TimePoint now = At(arrival.m_time);
    const WaitingRequest request{
        RequestId(index), ClassId(arrival.m_class == 0 ? "quotes" : "reports"),
        MemberId(std::to_string(arrival.m_member)), now,
        now + std::chrono::seconds(30)};
    (void)OfferRequest(m_admission, request, Slots(kSlots), now);
  }

  void Start(double now) {
    while (const auto request = TakeNextRequest(
               m_admission, Slots(kSlots - m_in_use), Slots(kSlots), At(now))) {
      ++m_in_use;
      const double service = NextExponential(m_random, kServiceMicroseconds);
      m_started[request->m_id.value()] = now;
      m_finishes.emplace(now + service, request->m_id.value());
    }
  }

  void Complete() {
    const auto [now, index] = m_finishes.top();
    m_finishes.pop();
    --m_in_use;
    const Arrival& arrival = m_arrivals[index];
    const ClassId class_id(arrival.m_class == 0 ? "quotes" : "reports");
    ReleaseSlot(m_admission, class_id);
    RecordServiceTime(
        m_admission, class_id,
        Duration(static_cast<Duration::rep>(now - m_started[index])));
    m_started.erase(index);
    CountServed(m_counts, arrival, now);
  }

  const std::vector<Arrival>& m_arrivals;
  Random m_random;
  Admission m_admission;
  Counts m_counts;
  Finishes m_finishes;
  std::map<std::size_t, double> m_started;
  std::int64_t m_in_use = 0;
};

// First come, first served, without a limit.
Counts RunNaive(const std::vector<Arrival>& arrivals, std::uint64_t seed) {
  Random random{seed};
  Counts counts;
  Finishes finishes;
  std::deque<std::size_t> waiting;
  std::int64_t in_use = 0;
  std::size_t next = 0;
  while (next < arrivals.size() || !finishes.empty()) {
    const bool is_arrival =
        next < arrivals.size() &&
        (finishes.empty() || arrivals[next].m_time < finishes.top().first);
    double now = 0;
    if (is_arrival) {
      now = arrivals[next].m_time;
      CountSent(counts, arrivals[next]);
      waiting.push_back(next++);
    } else {
      now = finishes.top().first;
      CountServed(counts, arrivals[finishes.top().second], now);
      finishes.pop();
      --in_use;
    }
    while (!waiting.empty() && in_use < kSlots) {
      ++in_use;
      finishes.emplace(now + NextExponential(random, kServiceMicroseconds),
                       waiting.front());
      waiting.pop_front();
    }
  }
  return counts;
}

std::vector<double> OthersInTime(const Counts& counts) {
  std::vector<double> amounts;
  for (int member = 1; member < kMembers; ++member) {
    const auto found = counts.m_quotes_in_time.find(member);
    amounts.push_back(found == counts.m_quotes_in_time.end() ? 0
                                                             : found->second);
  }
  return amounts;
}

double OthersShare(const Counts& counts) {
  double sent = 0;
  double in_time = 0;
  for (const auto& [member, count] : counts.m_quotes_sent) {
    if (member != 0) sent += count;
  }
  for (const double count : OthersInTime(counts)) in_time += count;
  return in_time / sent;
}

}  // namespace

void BenchFloods(BenchTable& table) {
  const double seconds = table.m_is_short ? 5 : 30;
  constexpr std::uint64_t kSeed = 1;

  Scenario reports_flood;
  reports_flood.m_report_load = kReportLoad * kFloodFactor * 5;
  const auto first = MakeArrivals(reports_flood, kSeed, seconds);
  const Counts ours = AdmissionRun(first, kSeed).Run();
  const Counts naive = RunNaive(first, kSeed);
  AddFigure(table, "floods", "quotes in time, reports at 10x capacity, FIFO",
            naive.m_in_time[0] / naive.m_sent[0], "share");
  AddBounded(table, "floods", "quotes in time, reports at 10x capacity",
             ours.m_in_time[0] / ours.m_sent[0], "share", BoundKind::kAtLeast,
             kKeptShare);

  Scenario quotes_flood;
  quotes_flood.m_quote_load = kFloodFactor;
  const auto second = MakeArrivals(quotes_flood, kSeed, seconds);
  const Counts ours_second = AdmissionRun(second, kSeed).Run();
  const Counts naive_second = RunNaive(second, kSeed);
  AddFigure(table, "floods", "reports in time, quotes at 10x capacity, FIFO",
            naive_second.m_in_time[1] / naive_second.m_sent[1], "share");
  AddBounded(table, "floods", "reports in time, quotes at 10x capacity",
             ours_second.m_in_time[1] / ours_second.m_sent[1], "share",
             BoundKind::kAtLeast, kKeptShare);
  std::vector<double> members = OthersInTime(ours_second);
  AddBounded(table, "floods", "Jain's index, equal members in a flood",
             JainIndex(members), "index", BoundKind::kAtLeast, kFairness);

  Scenario one_member;
  one_member.m_quote_load = kFloodFactor * kQuoteLoad;
  one_member.m_first_member = 50;
  const auto third = MakeArrivals(one_member, kSeed, seconds);
  const Counts ours_third = AdmissionRun(third, kSeed).Run();
  const Counts naive_third = RunNaive(third, kSeed);
  AddFigure(table, "floods", "others in time, one member at 50x, FIFO",
            OthersShare(naive_third), "share");
  AddBounded(table, "floods", "others in time, one member at 50x",
             OthersShare(ours_third), "share", BoundKind::kAtLeast, kKeptShare);
  AddBounded(table, "floods", "Jain's index of the others, one member at 50x",
             JainIndex(OthersInTime(ours_third)), "index", BoundKind::kAtLeast,
             kFairness);
}

void BenchRetries(BenchTable& table) {
  constexpr int kRequests = 100000;
  constexpr double kMostSends = 1.1;
  Random random{1};
  RetryBudget budget;
  int sends = 0;
  int naive_sends = 0;
  for (int request = 0; request < kRequests; ++request) {
    CountRequest(budget);
    // Half of the endpoints fail: each send fails with even odds.
    ++sends;
    while (NextUnit(random) < 0.5 && SpendRetry(budget)) ++sends;
    ++naive_sends;
    for (int retry = 0; retry < 3 && NextUnit(random) < 0.5; ++retry) {
      ++naive_sends;
    }
  }
  AddFigure(table, "retries", "sends to requests, three retries each",
            static_cast<double>(naive_sends) / kRequests, "ratio");
  AddBounded(table, "retries", "sends to requests, half of endpoints failing",
             static_cast<double>(sends) / kRequests, "ratio",
             BoundKind::kAtMost, kMostSends);
}

}  // namespace daisyarch
