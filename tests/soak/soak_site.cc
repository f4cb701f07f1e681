#include "soak_site.h"

#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "models/site_job.h"
#include "models/standin_main.h"

namespace daisyarch::soak {

namespace {

using boost::asio::ip::tcp;

constexpr Duration kControlTimeout = std::chrono::seconds(2);

std::unique_ptr<HttpClient> ClientOf(SoakSite& site, std::uint16_t port) {
  return std::make_unique<HttpClient>(site.m_loop, Address{"127.0.0.1", port},
                                      HttpClientLimits());
}

// The daemon can listen there all the same, as both sockets allow it and this
// one does not listen.
std::uint16_t ReservePort(SoakSite& site) {
  tcp::socket socket(site.m_loop, tcp::v4());
  socket.set_option(boost::asio::socket_base::reuse_address(true));
  socket.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::uint16_t port = socket.local_endpoint().port();
  site.m_reserved_ports.push_back(std::move(socket));
  return port;
}

std::string ProgramPath(const SoakSite& site, const char* name) {
  return site.m_plan.m_build + "/" + name;
}

bool LaunchStandin(SoakSite& site, ChildProcess& child, const char* name,
                   std::vector<std::string> words, std::size_t port_count,
                   Ports& ports) {
  child.m_log = site.m_plan.m_folder + "/" + name + ".log";
  words.insert(words.begin(), ProgramPath(site, name));
  Launch(child, site.m_plan.m_root, words);
  return WaitForPorts(child, port_count, ports);
}

std::string DaemonName(std::uint64_t number) {
  return "n" + std::to_string(number);
}

std::string ViewName(std::uint64_t daemon) {
  return "view" + std::to_string(daemon);
}

std::string LinkName(std::uint64_t daemon, std::uint64_t worker) {
  return DaemonName(daemon) + "." + WorkerName(worker);
}

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A link from each daemon to the store, and one to each worker.
std::string LinksOf(const SoakPlan& plan, const Ports& store_ports,
                    const Ports& worker_ports) {
  std::ostringstream links;
  for (std::uint64_t daemon = 1; daemon <= plan.m_daemons; ++daemon) {
    links << DaemonName(daemon) << "=" << store_ports.at(ViewName(daemon))
          << ",";
    for (std::uint64_t worker = 1; worker <= plan.m_workers; ++worker) {
      links << LinkName(daemon, worker) << "="
            << worker_ports.at(WorkerName(worker)) << ",";
    }
  }
  std::string text = links.str();
  text.pop_back();
  return text;
}

void LaunchDaemon(SoakSite& site, SoakDaemon& daemon) {
  daemon.m_is_end_expected = false;
  Launch(daemon.m_process, site.m_plan.m_root,
         {ProgramPath(site, "daisyarchd"), "--site=" + daemon.m_settings});
}

void AddDaemon(SoakSite& site, std::uint64_t number, std::uint16_t store_port) {
  SoakDaemon daemon;
  daemon.m_node.m_name = DaemonName(number);
  daemon.m_node.m_caller_port = ReservePort(site);
  daemon.m_node.m_ready_port = ReservePort(site);
  daemon.m_node.m_metrics_port = ReservePort(site);
  daemon.m_node.m_relay_port = ReservePort(site);
  daemon.m_node.m_store_port = store_port;
  // As on fsce-daisy. Above 60 workers, the leader needs relays.
  daemon.m_node.m_processor_share = "0.1";
  const std::string base = site.m_plan.m_folder + "/" + daemon.m_node.m_name;
  daemon.m_settings = base + ".yaml";
  daemon.m_process.m_log = base + ".log";
  std::ifstream settings(site.m_plan.m_root + "/deploy/settings.yaml");
  std::stringstream text;
  text << settings.rdbuf();
  std::ofstream(daemon.m_settings) << FillSettings(text.str(), daemon.m_node);
  daemon.m_callers = ClientOf(site, daemon.m_node.m_caller_port);
  LaunchDaemon(site, daemon);
  site.m_daemons.push_back(std::move(daemon));
}

void AddViews(SoakSite& site, const Ports& workers, const Ports& links) {
  for (std::uint64_t daemon = 1; daemon <= site.m_plan.m_daemons; ++daemon) {
    Json link_of = Json::object();
    for (std::uint64_t worker = 1; worker <= site.m_plan.m_workers; ++worker) {
      link_of[LoopbackAddress(workers.at(WorkerName(worker)))] =
          LoopbackAddress(links.at(LinkName(daemon, worker)));
    }
    Control(*site.m_store_control, "/links",
            {{"view", ViewName(daemon)}, {"links", std::move(link_of)}});
  }
}

void BeginWorkers(SoakSite& site, const Ports& workers) {
  for (std::uint64_t number = 1; number <= site.m_plan.m_workers; ++number) {
    const std::string name = WorkerName(number);
    // A worker's clock may be 2% slow.
    const double rate = 1.0 - 0.02 * NextUnit(site.m_plan.m_random);
    Control(*site.m_worker_control, "/begin",
            {{"worker", name},
             {"id", name},
             {"zone", ZoneOf(number)},
             {"clock_rate", rate},
             {"address", LoopbackAddress(workers.at(name))}});
  }
}

void Supervise(SoakSite& site, SoakDaemon& daemon, TimePoint now) {
  int status = 0;
  if (HasEnded(daemon.m_process, status)) {
    if (!daemon.m_is_end_expected) {
      site.m_failure = daemon.m_node.m_name + " has ended by itself, status " +
                       std::to_string(status);
    }
    daemon.m_restart_at = now + ChooseTime(site.m_plan.m_random, 200, 2000);
    return;
  }
  if (daemon.m_process.m_pid <= 0 && now >= daemon.m_restart_at) {
    LaunchDaemon(site, daemon);
  }
}

void NoteLeader(SoakSite& site, const std::string& answer) {
  const Json body = Json::parse(answer, nullptr, false);
  if (!body.is_object()) return;
  const std::string holder = body.value("holder", std::string());
  // The last match: the name of n12 holds that of n1.
  std::optional<std::size_t> leader;
  for (std::size_t index = 0; index < site.m_daemons.size(); ++index) {
    const std::string& name = site.m_daemons[index].m_node.m_name;
    if (holder.find(name) != std::string::npos) leader = index;
  }
  site.m_has_leader = leader.has_value();
  if (!leader) return;
  if (*leader != site.m_leader) ++site.m_leader_changes;
  site.m_leader = *leader;
}

}  // namespace

std::string WorkerName(std::uint64_t number) {
  return "w" + std::to_string(number);
}

std::string ZoneOf(std::uint64_t worker) {
  static constexpr const char* kZones[] = {"zone-a", "zone-b", "zone-c"};
  return kZones[worker % std::size(kZones)];
}

std::string RecordPath(const SoakPlan& plan) {
  return plan.m_folder + "/record.txt";
}

void Control(HttpClient& client, const char* path, const Json& body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = path;
  request.m_body = body.dump();
  client.Send(std::move(request), kControlTimeout,
              [](const Result<HttpResponse>&) {});
}

void AskForLeader(SoakSite& site) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/holder";
  request.m_body = "{}";
  site.m_store_control->Send(std::move(request), kControlTimeout,
                             [&site](const Result<HttpResponse>& answer) {
                               if (!answer) return;
                               NoteLeader(site, answer.assume_value().m_body);
                             });
}

bool StartSite(SoakSite& site) {
  const SoakPlan& plan = site.m_plan;
  std::filesystem::remove_all(plan.m_folder);
  std::filesystem::create_directories(plan.m_folder);
  Ports store;
  if (!LaunchStandin(site, site.m_store, "site_store_standin",
                     {"--views=" + std::to_string(plan.m_daemons)},
                     plan.m_daemons + 2, store)) {
    return false;
  }
  Ports workers;
  const std::string store_control = std::to_string(store.at("control"));
  if (!LaunchStandin(site, site.m_workers, "site_worker_standin",
                     {"--workers=" + std::to_string(plan.m_workers),
                      "--record=" + RecordPath(plan),
                      "--store=127.0.0.1:" + store_control},
                     plan.m_workers + 1, workers)) {
    return false;
  }
  Ports links;
  if (!LaunchStandin(site, site.m_proxy, "link_proxy",
                     {"--links=" + LinksOf(plan, store, workers),
                      "--seed=" + std::to_string(plan.m_seed)},
                     plan.m_daemons * (plan.m_workers + 1) + 1, links)) {
    return false;
  }
  site.m_store_control = ClientOf(site, store.at("control"));
  site.m_worker_control = ClientOf(site, workers.at("control"));
  site.m_proxy_control = ClientOf(site, links.at("control"));
  Control(
      *site.m_store_control, "/put",
      {{"key", kSiteConfigurationKey}, {"value", WriteSiteConfiguration()}});
  AddViews(site, workers, links);
  BeginWorkers(site, workers);
  for (std::uint64_t number = 1; number <= plan.m_daemons; ++number) {
    AddDaemon(site, number, links.at(DaemonName(number)));
  }
  return true;
}

void EndSite(SoakSite& site) {
  // An open connection and its client own each other.
  for (SoakDaemon& daemon : site.m_daemons) {
    daemon.m_callers->CloseAllConnections();
  }
  for (const auto* client :
       {&site.m_store_control, &site.m_worker_control, &site.m_proxy_control}) {
    if (*client) (*client)->CloseAllConnections();
  }
  site.m_loop.restart();
  site.m_loop.poll();
  for (SoakDaemon& daemon : site.m_daemons) End(daemon.m_process);
  End(site.m_proxy);
  End(site.m_workers);
  End(site.m_store);
}

void TickSite(SoakSite& site, TimePoint now) {
  while (!site.m_agenda.empty() && site.m_agenda.begin()->first <= now) {
    const auto action = std::move(site.m_agenda.begin()->second);
    site.m_agenda.erase(site.m_agenda.begin());
    action();
  }
  for (SoakDaemon& daemon : site.m_daemons) Supervise(site, daemon, now);
}

}  // namespace daisyarch::soak
