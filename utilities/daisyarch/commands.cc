#include "commands.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <random>
#include <utility>

#include "api_client.h"
#include "chart/chart_diagram.h"
#include "chart/chart_parser.h"
#include "chart/chart_structure.h"
#include "table.h"
#include "wire/configuration_fields.h"

namespace daisyarch {

namespace {

Error BadUsage(const std::string& detail) {
  return Error{ErrorCode::kInvalidArgument, "read arguments", "", detail};
}

/// Arguments of the form name=value.
using Options = std::map<std::string, std::string>;

/// Reads the arguments from index `first` on. Unknown and duplicate names are
/// errors.
Result<Options> ReadOptions(const CommandContext& context,
                            const std::vector<std::string>& known_names,
                            std::size_t first) {
  Options options;
  for (std::size_t index = first; index < context.m_arguments.size(); ++index) {
    const std::string& argument = context.m_arguments[index];
    const auto equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    if (equals == std::string::npos ||
        std::find(known_names.begin(), known_names.end(), name) ==
            known_names.end()) {
      return BadUsage("unknown argument \"" + argument + "\"");
    }
    if (!options.emplace(name, argument.substr(equals + 1)).second) {
      return BadUsage("duplicate argument \"" + name + "\"");
    }
  }
  return options;
}

Result<std::int64_t> IntegerOption(const Options& options,
                                   const std::string& name,
                                   std::int64_t default_value) {
  const auto found = options.find(name);
  if (found == options.end()) return default_value;
  const std::string& text = found->second;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || parsed_end != end) {
    return BadUsage(name + ": expected an integer");
  }
  return value;
}

std::string StringOption(const Options& options, const std::string& name,
                         const std::string& default_value) {
  const auto found = options.find(name);
  return found == options.end() ? default_value : found->second;
}

Result<std::string> SingleArgument(const CommandContext& context,
                                   const std::string& name) {
  if (context.m_arguments.size() != 1) return BadUsage("expected " + name);
  return context.m_arguments[0];
}

/// Returns a random key of 64 bits, for submissions without a `key=` argument.
std::string MakeIdempotencyKey() {
  std::random_device device;
  const std::uint64_t high = device();
  return ToString(JobId(high << 32 | device()));
}

/// Sends a GET request and formats the objects in the response as table rows.
Result<std::string> FetchTable(const CommandContext& context,
                               const std::string& path,
                               const std::vector<Column>& columns) {
  TRY_ASSIGN(const Json rows, CallDaemon(context.m_daemon, "GET", path, ""));
  if (context.m_is_json) return rows.dump() + "\n";
  return FormatTable(columns, rows.is_array() ? rows : Json::array({rows}));
}

Result<std::string> FormatJob(const CommandContext& context, const Json& job) {
  if (context.m_is_json) return job.dump() + "\n";
  const std::vector<Column> columns = {{"JOB", "job.job"},
                                       {"MEMBER", "job.request.member"},
                                       {"CLASS", "job.request.class"},
                                       {"TASKS", "job.request.tasks"},
                                       {"QUEUED", "queued"},
                                       {"ACTIVE", "active"},
                                       {"FINISHED", "job.finished"},
                                       {"FAILED", "job.failed"},
                                       {"CANCELLED", "job.cancelled"},
                                       {"UNKNOWN", "job.unknown"}};
  return FormatTable(columns, Json::array({job}));
}

Result<std::string> Submit(const CommandContext& context) {
  TRY_ASSIGN(const Options options,
             ReadOptions(context,
                         {"member", "class", "key", "tasks", "millicores",
                          "mebibytes", "accelerators", "run_ms", "repeat"},
                         0));
  TRY_ASSIGN(const std::int64_t tasks, IntegerOption(options, "tasks", 1));
  TRY_ASSIGN(const std::int64_t millicores,
             IntegerOption(options, "millicores", 1000));
  TRY_ASSIGN(const std::int64_t mebibytes,
             IntegerOption(options, "mebibytes", 1024));
  TRY_ASSIGN(const std::int64_t accelerators,
             IntegerOption(options, "accelerators", 0));
  TRY_ASSIGN(const std::int64_t run, IntegerOption(options, "run_ms", 1000));
  const Json body = {
      {"member", StringOption(options, "member", "")},
      {"class", StringOption(options, "class", "")},
      {"key", StringOption(options, "key", MakeIdempotencyKey())},
      {"tasks", tasks},
      {"run_ms", run},
      {"repeat", StringOption(options, "repeat", "allowed")},
      {"demand",
       {{"millicores", millicores},
        {"mebibytes", mebibytes},
        {"accelerators", accelerators}}}};
  TRY_ASSIGN(const Json job,
             CallDaemon(context.m_daemon, "POST", "jobs", body.dump()));
  return FormatJob(context, job);
}

Result<std::string> ShowStatus(const CommandContext& context) {
  TRY_ASSIGN(const std::string id, SingleArgument(context, "JOB"));
  TRY_ASSIGN(const Json job,
             CallDaemon(context.m_daemon, "GET", "jobs/" + id, ""));
  return FormatJob(context, job);
}

Result<std::string> Cancel(const CommandContext& context) {
  TRY_ASSIGN(const std::string id, SingleArgument(context, "JOB"));
  TRY_ASSIGN(const Json job,
             CallDaemon(context.m_daemon, "DELETE", "jobs/" + id, ""));
  return FormatJob(context, job);
}

Result<std::string> SendConfigurationChange(const CommandContext& context,
                                            Json body,
                                            std::int64_t seen_version) {
  const Json change = {{"operator", context.m_operator},
                       {"seen_version", seen_version},
                       {"body", std::move(body)}};
  TRY_ASSIGN(const Json result,
             CallDaemon(context.m_daemon, "POST", "config", change.dump()));
  if (context.m_is_json) return result.dump() + "\n";
  return "version " + result.at("version").dump() + ": " +
         result.at("change").at("field").get<std::string>() + " is now " +
         result.at("change").at("after").get<std::string>() + "\n";
}

Result<std::string> SetClass(const CommandContext& context) {
  if (context.m_arguments.empty()) return BadUsage("expected CLASS");
  TRY_ASSIGN(
      const Options options,
      ReadOptions(context,
                  {"kind", "within_ms", "quantile", "finish", "keep", "seen"},
                  1));
  TRY_ASSIGN(const std::int64_t within,
             IntegerOption(options, "within_ms", 1000));
  TRY_ASSIGN(const std::int64_t quantile,
             IntegerOption(options, "quantile", 99));
  TRY_ASSIGN(const std::int64_t finish, IntegerOption(options, "finish", 99));
  TRY_ASSIGN(const std::int64_t keep, IntegerOption(options, "keep", 0));
  TRY_ASSIGN(const std::int64_t seen_version,
             IntegerOption(options, "seen", 0));
  const Json target = {
      {"class", context.m_arguments[0]},
      {"kind_of_work", StringOption(options, "kind", "request")},
      {"within_us", within * 1000},
      {"quantile_percent", quantile},
      {"finish_percent", finish},
      {"keep_percent", keep}};
  return SendConfigurationChange(
      context, {{"kind", "set_class"}, {"target", target}}, seen_version);
}

Result<std::string> SetTeam(const CommandContext& context) {
  if (context.m_arguments.empty()) return BadUsage("expected TEAM");
  TRY_ASSIGN(
      const Options options,
      ReadOptions(context, {"millicores", "mebibytes", "accelerators", "seen"},
                  1));
  TRY_ASSIGN(const std::int64_t millicores,
             IntegerOption(options, "millicores", 0));
  TRY_ASSIGN(const std::int64_t mebibytes,
             IntegerOption(options, "mebibytes", 0));
  TRY_ASSIGN(const std::int64_t accelerators,
             IntegerOption(options, "accelerators", 0));
  TRY_ASSIGN(const std::int64_t seen_version,
             IntegerOption(options, "seen", 0));
  const Json quota = {{"team", context.m_arguments[0]},
                      {"limit",
                       {{"millicores", millicores},
                        {"mebibytes", mebibytes},
                        {"accelerators", accelerators}}}};
  return SendConfigurationChange(
      context, {{"kind", "set_team"}, {"quota", quota}}, seen_version);
}

Result<std::string> SetMember(const CommandContext& context) {
  if (context.m_arguments.size() != 2) return BadUsage("expected MEMBER TEAM");
  const Json entry = {{"member", context.m_arguments[0]},
                      {"team", context.m_arguments[1]}};
  return SendConfigurationChange(context,
                                 {{"kind", "set_member"}, {"entry", entry}}, 0);
}

Result<std::string> ListClasses(const CommandContext& context) {
  TRY_ASSIGN(const Json document,
             CallDaemon(context.m_daemon, "GET", "config", ""));
  Json classes = Json::array();
  const bool has_filter = !context.m_arguments.empty();
  for (const Json& target : document.at("classes")) {
    const bool is_match =
        !has_filter || target.at("class") == Json(context.m_arguments[0]);
    if (is_match) classes.push_back(target);
  }
  if (has_filter && classes.empty()) {
    return Error{ErrorCode::kNotFound, "find class", context.m_arguments[0],
                 "no such class"};
  }
  if (context.m_is_json) return classes.dump() + "\n";
  return FormatTable({{"CLASS", "class"},
                      {"KIND", "kind_of_work"},
                      {"WITHIN_US", "within_us"},
                      {"QUANTILE%", "quantile_percent"},
                      {"FINISH%", "finish_percent"},
                      {"KEEP%", "keep_percent"}},
                     classes);
}

Result<std::string> ShowConfiguration(const CommandContext& context) {
  TRY_ASSIGN(const Json document,
             CallDaemon(context.m_daemon, "GET", "config", ""));
  return document.dump(context.m_is_json ? -1 : 2) + "\n";
}

Result<std::string> ListNodes(const CommandContext& context) {
  return FetchTable(context, "nodes",
                    {{"NODE", "node"},
                     {"STATE", "state"},
                     {"FAILURE DOMAIN", "failure_domain"},
                     {"HTTP", "http_address"},
                     {"MESH", "mesh_address"}});
}

Result<std::string> ShowSelf(const CommandContext& context) {
  return FetchTable(context, "self",
                    {{"NODE", "node"},
                     {"READY", "ready"},
                     {"MEMBERS", "members_version"},
                     {"CONFIGURATION", "configuration_version"},
                     {"OPEN", "open_requests"},
                     {"PARTITIONS", "partitions"}});
}

Result<std::string> ListWorkers(const CommandContext& context) {
  return FetchTable(context, "workers",
                    {{"WORKER", "worker"},
                     {"PARTITION", "partition"},
                     {"STATE", "state"},
                     {"TASKS", "tasks"},
                     {"MILLICORES", "reserved.millicores"},
                     {"OF", "capacity.millicores"},
                     {"MEBIBYTES", "reserved.mebibytes"},
                     {"OF", "capacity.mebibytes"}});
}

Result<std::string> ListEndpoints(const CommandContext& context) {
  return FetchTable(context, "endpoints",
                    {{"ENDPOINT", "endpoint"},
                     {"STATE", "state"},
                     {"LATENCY_US", "latency_us"},
                     {"IN USE", "slots_in_use"},
                     {"OWN", "slots_entitled"},
                     {"SLOTS", "slots_total"}});
}

Result<std::string> ShowAuditTrail(const CommandContext& context) {
  TRY_ASSIGN(const Options options, ReadOptions(context, {"count"}, 0));
  TRY_ASSIGN(const std::int64_t count, IntegerOption(options, "count", 20));
  return FetchTable(context, "audit?count=" + std::to_string(count),
                    {{"VERSION", "version"},
                     {"UNIX_MS", "unix_ms"},
                     {"OPERATOR", "operator"},
                     {"FIELD", "field"},
                     {"BEFORE", "before"},
                     {"AFTER", "after"}});
}

Result<std::string> DrainNode(const CommandContext& context) {
  TRY_ASSIGN(const Json answer,
             CallDaemon(context.m_daemon, "POST", "drain", ""));
  if (context.m_is_json) return answer.dump() + "\n";
  return std::string("the node finishes its open requests and then stops\n");
}

Result<std::string> DrawChartFile(const CommandContext& context) {
  TRY_ASSIGN(const std::string path, SingleArgument(context, "FILE"));
  TRY_ASSIGN(const ChartDefinition chart, ParseChartFile(path));
  TRY(CheckStructure(chart));
  return DrawChart(chart);
}

}  // namespace

const std::vector<Command>& AllCommands() {
  static const auto* commands = new std::vector<Command>{
      {"submit",
       "submit member=M class=C [key=K] [tasks=N] [millicores=N] "
       "[mebibytes=N] [accelerators=N] [run_ms=N] [repeat=allowed|never]",
       "submit a job; a repeated key returns the existing job", Submit},
      {"status", "status JOB", "show a job", ShowStatus},
      {"cancel", "cancel JOB", "cancel a job; safe to repeat", Cancel},
      {"classes", "classes [CLASS]", "list the classes and their targets",
       ListClasses},
      {"set-class",
       "set-class CLASS kind=request|batch|watch within_ms=N [quantile=P] "
       "[finish=P] [keep=P] [seen=VERSION]",
       "set the target of a class", SetClass},
      {"set-team",
       "set-team TEAM millicores=N mebibytes=N [accelerators=N] "
       "[seen=VERSION]",
       "set the quota of a team", SetTeam},
      {"set-member", "set-member MEMBER TEAM", "assign a member to a team",
       SetMember},
      {"config", "config", "show the whole configuration", ShowConfiguration},
      {"nodes", "nodes", "list the nodes", ListNodes},
      {"self", "self", "show the status of the node at --daemon", ShowSelf},
      {"workers", "workers", "list the workers of the node's partitions",
       ListWorkers},
      {"endpoints", "endpoints", "list the endpoints as the node sees them",
       ListEndpoints},
      {"audit", "audit [count=N]",
       "show the latest configuration changes, newest first", ShowAuditTrail},
      {"drain", "drain", "stop the node gracefully", DrainNode},
      {"chart", "chart FILE", "print a state chart in the DOT language",
       DrawChartFile},
  };
  return *commands;
}

}  // namespace daisyarch
