#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "link_proxy/link_fault.h"
#include "soak_site.h"

namespace daisyarch::soak {

/// All messages of a link.
constexpr std::uint64_t kAll = 100;
/// Stands for the daemon that leads when the action is carried out.
constexpr std::uint64_t kLeader = ~std::uint64_t{0};

/// A worker that ends and begins again.
struct WorkerRestart {
  std::string m_worker;
  std::string m_id;  ///< Of the next life.
  /// The orders that arrive in the last moments are taken by the next life.
  Duration m_withholds{};
  Duration m_down{};
  Duration m_unreachable{};   ///< From its end on.
  Duration m_latest_order{};  ///< After the beginning of the next life.
};

/// Adds the action to the agenda and returns when its effect has ended.
TimePoint Plan(SoakSite& site, TimePoint at, Duration lasts,
               std::function<void()> action);

/// `link` is that of a daemon to the store, of a daemon to a worker, or a
/// worker's name for the links of all daemons to it.
void SetLink(SoakSite& site, const std::string& link, LinkMode mode,
             Duration lasts, std::uint64_t percent = kAll,
             Duration longest_delay = Duration::zero());

SoakDaemon& DaemonOf(SoakSite& site, std::uint64_t chosen);
void SignalDaemon(SoakSite& site, std::uint64_t chosen, int signal);
/// A frozen daemon continues after the pause, whoever leads then.
void FreezeDaemon(SoakSite& site, std::uint64_t chosen, Duration pause);
void FreezeStore(SoakSite& site, Duration pause);

std::string DrawWorker(SoakSite& site);
void RestartWorker(SoakSite& site, const WorkerRestart& restart);

}  // namespace daisyarch::soak
