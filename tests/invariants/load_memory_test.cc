#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fakes/heap_meter.h"
#include "fleet/store_keys.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::seconds;

constexpr int kJobs = 60;
constexpr std::uint32_t kTasks = 2000;
// The answer of the fake store is copied on its way. Decoded rows take several
// times their bytes in the store.
constexpr std::size_t kMaximumCopies = 5;

std::string MakePart(std::uint64_t part) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  const std::uint64_t end =
      std::min<std::uint64_t>(kTasks - 1, (part + 1) * kTasksPerPart);
  for (std::uint64_t task = part * kTasksPerPart; task < end; ++task) {
    TaskProgress row;
    row.m_index = static_cast<std::uint32_t>(task);
    row.m_is_done = true;
    row.m_run = RunNumber(1);
    progress.m_tasks.push_back(row);
  }
  return WriteCbor(Encode(progress));
}

// Stores jobs of which one task each is not done. Returns the stored bytes.
std::size_t StoreJobs(FakeSite& site) {
  std::size_t bytes = 0;
  for (int number = 0; number < kJobs; ++number) {
    JobPlan plan = MakeTestJob(number, kTasks);
    plan.m_steps.resize(1);
    StoreTransaction transaction;
    transaction.m_puts.push_back(
        {JobItemKey(plan.m_key), WriteCbor(Encode(plan)), StoreLeaseId()});
    for (std::uint64_t part = 0; part * kTasksPerPart < kTasks; ++part) {
      transaction.m_puts.push_back(
          {ProgressPartKey(plan.m_key, ProgressPart(part)), MakePart(part),
           StoreLeaseId()});
      bytes += transaction.m_puts.back().m_value.size();
    }
    Apply(site.m_store, transaction);
  }
  return bytes;
}

}  // namespace

// Guards against a leader that goes over its memory while it loads: it decoded
// the progress of all jobs before it added the first.
TEST_CASE("A leader decodes the progress of one job at a time") {
  FakeSite site(1);
  site.m_routes = MakeTestRoutes();
  const std::size_t stored = StoreJobs(site);
  AddSiteNode(site, "n0");
  ResetHeapPeak();
  const std::size_t before = LiveHeapBytes();
  REQUIRE(RunUntilTrue(site.m_loop, seconds(20), [&site] {
    const FakeSiteNode* leader = FindLeader(site);
    return leader != nullptr && leader->m_node->m_leader->m_is_loaded;
  }));
  CHECK(FindLeader(site)->m_node->m_leader->m_fleet.m_jobs.size() == kJobs);
  CHECK(PeakHeapBytes() - before < kMaximumCopies * stored);
}

}  // namespace daisyarch::fleet
