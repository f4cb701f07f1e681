#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/match.h>

#include <map>
#include <sstream>

#include "link.h"
#include "models/standin_control.h"

ABSL_FLAG(std::string, links, "", "NAME=PORT of each link, comma-separated");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the choice of messages");

namespace daisyarch {
namespace {

using Links = std::map<std::string, std::unique_ptr<Link>>;

// "NAME=PORT,..." with a link for each.
void OpenLinks(boost::asio::io_context& loop, Links& links) {
  std::stringstream names(absl::GetFlag(FLAGS_links));
  std::string entry;
  std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  while (std::getline(names, entry, ',')) {
    const auto equals = entry.find('=');
    const std::string name = entry.substr(0, equals);
    auto link = std::make_unique<Link>(loop);
    link->m_random.m_state = ++seed;
    OpenLink(*link,
             static_cast<std::uint16_t>(std::stoul(entry.substr(equals + 1))));
    PrintPort(name, link->m_acceptor.local_endpoint().port());
    links[name] = std::move(link);
  }
}

// The name of a worker stands for the links of all nodes to it, NODE.WORKER.
bool Names(const std::string& wanted, const std::string& link) {
  return link == wanted || absl::EndsWith(link, "." + wanted);
}

Json ApplyFault(Links& links, const Json& order) {
  LinkFault fault;
  fault.m_mode = static_cast<LinkMode>(order.value("mode", 0));
  fault.m_until = StandinNow() + FromMilliseconds(order.value("for_ms", 0));
  fault.m_percent = order.value("percent", std::uint64_t{100});
  fault.m_longest_delay = FromMilliseconds(order.value("delay_ms", 0));
  const std::string wanted = order.value("link", std::string());
  for (const auto& [name, link] : links) {
    if (Names(wanted, name)) SetFault(*link, fault);
  }
  return Json::object();
}

int Run() {
  boost::asio::io_context loop(1);
  Links links;
  OpenLinks(loop, links);
  const auto control =
      OpenControl(loop, [&links](const std::string&, const Json& body) {
        return ApplyFault(links, body);
      });
  if (!control) return ReportStandinError("link_proxy", control.assume_error());
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage("link_proxy --links=NAME=PORT,...");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
