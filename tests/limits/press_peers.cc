#include "press_peers.h"

#include <absl/strings/escaping.h>

#include <iostream>

#include "models/site_job.h"
#include "wire/json.h"
#include "wire/relay_fields.h"

namespace daisyarch::limits {

namespace {

// A leader with this share gives orders to relays for more than 6 workers.
constexpr const char* kSmallProcessorShare = "0.01";
constexpr std::size_t kWorkersPerRelay = 50;
constexpr std::int64_t kRelayMillicores = 100;

std::string WriteWorker(const std::string& address) {
  return Json{{"service", "pool"},
              {"addr", address},
              {"zone", "zone-a"},
              {"version", "1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"seq", 1},
              {"capacity", {{"cpu", 4000}, {"mem_mb", 8192}, {"gpu", 0}}},
              {"labels", {"plain", "rack-1"}}}
      .dump();
}

std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

void AddWorkers(Trial& trial, std::size_t count, const std::string& address) {
  for (std::size_t number = 0; number < count; ++number) {
    PutKey(trial, "servers/w" + std::to_string(number), WriteWorker(address));
  }
}

void AddRelay(Trial& trial, std::size_t number, std::uint16_t port) {
  const std::string name = "r" + std::to_string(number);
  const std::string value = fleet::WriteRelayNode(
      {NodeId(name), AddressOf(port), Millicores(kRelayMillicores)});
  const Json body = {{"puts",
                      {{{"key", "daisyarch/relays/" + name},
                        {"value", absl::Base64Escape(value)}}}}};
  Ask(trial, trial.m_store_port,
      {"POST", "/daisyarch/kv-txn", {}, body.dump()});
}

void AddPeers(Trial& trial, const FaultyAnswer& answer) {
  if (answer.m_role == PeerRole::kStore) {
    trial.m_node.m_store_port = AddPeer(trial);
    trial.m_peers.front()->m_forward_port = trial.m_store_port;
  } else if (answer.m_role == PeerRole::kWorker) {
    AddWorkers(trial, answer.m_peers, AddressOf(AddPeer(trial)));
    SetAnswer(*trial.m_peers.front(), &answer);
  } else {
    trial.m_node.m_processor_share = kSmallProcessorShare;
    // The workers are not there.
    AddWorkers(trial, answer.m_peers * kWorkersPerRelay,
               AddressOf(ReservePort(trial)));
    for (std::size_t number = 0; number < answer.m_peers; ++number) {
      AddRelay(trial, number, AddPeer(trial));
      SetAnswer(*trial.m_peers.back(), &answer);
    }
  }
}

std::size_t SumOf(const Trial& trial, std::size_t FaultyPeer::*count) {
  std::size_t sum = 0;
  for (const auto& peer : trial.m_peers) sum += (*peer).*count;
  return sum;
}

// Returns once enough answers were sent or cut, at the latest after kCrowdTime.
void AwaitAnswers(Trial& trial, const FaultyAnswer& answer) {
  const std::size_t expected = answer.m_answers_per_peer * answer.m_peers;
  const auto end = std::chrono::steady_clock::now() + kCrowdTime;
  while (SumOf(trial, &FaultyPeer::m_finished) < expected &&
         std::chrono::steady_clock::now() < end) {
    Pause(trial);
  }
}

}  // namespace

bool RunFaultyPeers(Trial& trial, const FaultyAnswer& answer) {
  if (!StartStore(trial)) return false;
  AddPeers(trial, answer);
  if (!StartDaemon(trial)) {
    std::cout << "the daemon does not serve; see " << trial.m_folder << "\n";
  }
  if (answer.m_role == PeerRole::kStore) {
    SetAnswer(*trial.m_peers.front(), &answer);
  }
  AwaitAnswers(trial, answer);
  // Nothing can be accepted while the store is at fault.
  if (answer.m_role == PeerRole::kStore) {
    SetAnswer(*trial.m_peers.front(), nullptr);
  }
  const bool is_within = Judge(answer.m_name, Measure(trial));
  const std::size_t begun = SumOf(trial, &FaultyPeer::m_begun);
  std::cout << "answers begun " << begun << ", ended "
            << SumOf(trial, &FaultyPeer::m_finished) << ", sent bytes "
            << SumOf(trial, &FaultyPeer::m_sent_bytes) << "\n";
  return is_within && begun >= answer.m_peers;
}

}  // namespace daisyarch::limits
