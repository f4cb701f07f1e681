#include <cstdio>
#include <string>

#include "bench_table.h"
#include "fleet_bench.h"
#include "flood_bench.h"
#include "log/log.h"
#include "membership_bench.h"
#include "near_place_bench.h"
#include "placement_bench.h"
#include "routing_bench.h"

int main(int argument_count, char** arguments) {
  daisyarch::StartLogging("daisyarch_bench", daisyarch::LogOutput::kNone);
  daisyarch::BenchTable table;
  for (int index = 1; index < argument_count; ++index) {
    if (std::string(arguments[index]) == "--short") table.m_is_short = true;
  }
  daisyarch::BenchRouting(table);
  daisyarch::BenchOverload(table);
  daisyarch::BenchRetries(table);
  daisyarch::BenchMembership(table);
  daisyarch::BenchHeartbeats(table);
  daisyarch::BenchPlacement(table);
  daisyarch::BenchFleet(table);
  daisyarch::BenchNearPlaces(table);
  daisyarch::BenchStoreCalls(table);
  daisyarch::BenchMessages(table);
  daisyarch::BenchChart(table);
  const int broken = daisyarch::PrintTable(table);
  std::printf("%d bounds broken\n", broken);
  return broken == 0 ? 0 : 1;
}
