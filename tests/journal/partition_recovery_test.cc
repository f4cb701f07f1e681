#include <catch2/catch.hpp>
#include <map>

#include "fakes/fake_fleet.h"
#include "job_calls.h"

namespace daisyarch {

namespace {

constexpr int kJobs = 50;
constexpr std::int64_t kCallsBetweenStartAndSnapshot = 150;

JobRequest MakeJob(int number) {
  JobRequest request;
  request.m_member = MemberId("shop");
  request.m_team = TeamId("shop");
  request.m_class = ClassId("settlements");
  request.m_key = IdempotencyKey("order-" + std::to_string(number));
  request.m_demand = Resources{Millicores(500), Mebibytes(100), Accelerators()};
  request.m_run_time = std::chrono::milliseconds(700);
  return request;
}

// Submits kJobs jobs, one per 250 ms, and records which are accepted.
void SubmitJobs(FakeFleet& fleet, FakeNode& node, std::map<int, bool>& accepted,
                int first) {
  for (int number = first; number < first + kJobs; ++number) {
    if (!node.m_is_alive) return;
    SubmitJobToOwner(node.m_services->m_partitions, MakeJob(number),
                     [&accepted, number](const Result<JobStatus>& result) {
                       if (result) accepted[number] = true;
                     });
    RunFor(fleet.m_loop, std::chrono::milliseconds(250));
  }
}

void CheckAcceptedJobsFinished(FakeNode& node,
                               const std::map<int, bool>& accepted) {
  for (const auto& [number, is_accepted] : accepted) {
    const JobRequest request = MakeJob(number);
    bool is_finished = false;
    FindJobLocally(node.m_services->m_partitions,
                   DeriveJobId(request.m_member, request.m_key),
                   [&is_finished](const Result<JobStatus>& result) {
                     is_finished =
                         result && result.assume_value().m_job.m_finished == 1;
                   });
    INFO("job " << number);
    CHECK(is_finished);
  }
}

std::uint64_t SnapshotSequence(const FakeNode& node) {
  const auto& entry = node.m_services->m_partitions.m_entries.begin()->second;
  if (!entry.m_owned) return 0;
  return entry.m_owned->m_claimed.m_head.m_snapshot_through.value();
}

}  // namespace

// Each round lets the owner make one more call before it crashes, so that the
// crashes fall between every two steps of commit and snapshot.
TEST_CASE("Accepted jobs survive a crash between every two store calls",
          "[invariant]") {
  std::uint64_t latest_snapshot = 0;
  for (std::int64_t calls = 0; calls < kCallsBetweenStartAndSnapshot; ++calls) {
    INFO("crash after " << calls << " calls");
    FakeFleet fleet(static_cast<std::uint64_t>(calls) + 1);
    AddWorker(fleet, "w1", "a",
              Resources{Millicores(8000), Mebibytes(8000), Accelerators()});
    FakeNode& first = AddNode(fleet, MakeTestSettings("n1", "a", {"a"}));
    RunUntilTrue(fleet.m_loop, std::chrono::seconds(5),
                 [&first] { return OwnsPartitions(first, 1); });
    fleet.m_platform.m_calls_before_crash = calls;
    fleet.m_platform.m_on_crash = [&first] { KillNode(first); };
    std::map<int, bool> accepted;
    SubmitJobs(fleet, first, accepted, 0);
    latest_snapshot = std::max(latest_snapshot, SnapshotSequence(first));
    KillNode(first);
    fleet.m_platform.m_calls_before_crash = -1;
    FakeNode& second = AddNode(fleet, MakeTestSettings("n2", "a", {"a"}));
    CHECK(RunUntilTrue(fleet.m_loop, std::chrono::seconds(30),
                       [&second] { return OwnsPartitions(second, 1); }));
    RunFor(fleet.m_loop, std::chrono::seconds(20));
    CHECK(FindWorkerViolation(fleet) == "");
    CheckAcceptedJobsFinished(second, accepted);
  }
  // Some crashes happened after a snapshot had been stored.
  CHECK(latest_snapshot > 0);
}

TEST_CASE("Replaced snapshots are removed from the store") {
  FakeFleet fleet(1);
  AddWorker(fleet, "w1", "a",
            Resources{Millicores(8000), Mebibytes(8000), Accelerators()});
  FakeNode& node = AddNode(fleet, MakeTestSettings("n1", "a", {"a"}));
  RunUntilTrue(fleet.m_loop, std::chrono::seconds(5),
               [&node] { return OwnsPartitions(node, 1); });
  std::map<int, bool> accepted;
  for (int round = 0; round < 6; ++round) {
    SubmitJobs(fleet, node, accepted, round * kJobs);
  }
  RunFor(fleet.m_loop, std::chrono::seconds(20));
  CHECK(SnapshotSequence(node) >= 2 * kBatchesPerSnapshot);
  std::size_t chunks = 0;
  for (const auto& [key, value] : fleet.m_platform.m_store.m_values) {
    if (key.find("/snapshot/") != std::string::npos) ++chunks;
  }
  CHECK(chunks == 1);
}

}  // namespace daisyarch
