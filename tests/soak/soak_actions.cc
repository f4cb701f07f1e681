#include "soak_actions.h"

#include <csignal>
#include <iostream>

#include "models/standin_main.h"

namespace daisyarch::soak {

namespace {

void Note(const std::string& text) {
  std::cout << ToMilliseconds(StandinNow().time_since_epoch()) << " " << text
            << std::endl;
}

}  // namespace

TimePoint Plan(SoakSite& site, TimePoint at, Duration lasts,
               std::function<void()> action) {
  site.m_agenda.emplace(at, std::move(action));
  return at + lasts;
}

void SetLink(SoakSite& site, const std::string& link, LinkMode mode,
             Duration lasts, std::uint64_t percent, Duration longest_delay) {
  Note("link " + link + " mode " + std::to_string(static_cast<int>(mode)) +
       " for " + std::to_string(ToMilliseconds(lasts)) + " ms, " +
       std::to_string(percent) + "%");
  Control(*site.m_proxy_control, "/fault",
          {{"link", link},
           {"mode", static_cast<int>(mode)},
           {"for_ms", ToMilliseconds(lasts)},
           {"percent", percent},
           {"delay_ms", ToMilliseconds(longest_delay)}});
}

SoakDaemon& DaemonOf(SoakSite& site, std::uint64_t chosen) {
  const std::size_t index = chosen == kLeader ? site.m_leader : chosen;
  return site.m_daemons[index];
}

void SignalDaemon(SoakSite& site, std::uint64_t chosen, int signal) {
  SoakDaemon& daemon = DaemonOf(site, chosen);
  Note("signal " + std::to_string(signal) + " to " + daemon.m_node.m_name);
  if (signal == SIGKILL || signal == SIGTERM) daemon.m_is_end_expected = true;
  Signal(daemon.m_process, signal);
}

void FreezeDaemon(SoakSite& site, std::uint64_t chosen, Duration pause) {
  const std::size_t index = chosen == kLeader ? site.m_leader : chosen;
  SignalDaemon(site, index, SIGSTOP);
  site.m_agenda.emplace(StandinNow() + pause,
                        [&site, index] { SignalDaemon(site, index, SIGCONT); });
}

void FreezeStore(SoakSite& site, Duration pause) {
  Note("the store pauses");
  Signal(site.m_store, SIGSTOP);
  site.m_agenda.emplace(StandinNow() + pause, [&site] {
    Note("the store continues");
    Signal(site.m_store, SIGCONT);
  });
}

std::string DrawWorker(SoakSite& site) {
  return WorkerName(Choose(site.m_plan.m_random, 1, site.m_plan.m_workers));
}

void RestartWorker(SoakSite& site, const WorkerRestart& restart) {
  Note("worker " + restart.m_worker + " ends in " +
       std::to_string(ToMilliseconds(restart.m_withholds)) +
       " ms and begins as " + restart.m_id + " " +
       std::to_string(ToMilliseconds(restart.m_down)) + " ms later");
  const auto cut = [&site, restart] {
    SetLink(site, restart.m_worker, LinkMode::kClosed, restart.m_unreachable);
  };
  if (restart.m_withholds == Duration::zero()) cut();
  Control(*site.m_worker_control, "/restart",
          {{"worker", restart.m_worker},
           {"id", restart.m_id},
           {"withhold_ms", ToMilliseconds(restart.m_withholds)},
           {"down_ms", ToMilliseconds(restart.m_down)},
           {"late_ms", ToMilliseconds(restart.m_latest_order)}});
  if (restart.m_withholds == Duration::zero()) return;
  site.m_agenda.emplace(StandinNow() + restart.m_withholds, cut);
}

}  // namespace daisyarch::soak
