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

Error BadUse(const std::string& detail) {
  return Error{ErrorCode::kInvalidArgument, "read arguments", "", detail};
}

/// Arguments of the form name=value.
using Options = std::map<std::string, std::string>;

Result<Options> ReadOptions(const CommandContext& context,
                            const std::vector<std::string>& known,
                            std::size_t first) {
  Options options;
  for (std::size_t index = first; index < context.m_arguments.size(); ++index) {
    const std::string& argument = context.m_arguments[index];
    const auto equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    if (equals == std::string::npos ||
        std::find(known.begin(), known.end(), name) == known.end()) {
      return BadUse("unknown argument \"" + argument + "\"");
    }
    if (!options.emplace(name, argument.substr(equals + 1)).second) {
      return BadUse("argument \"" + name + "\" stands twice");
    }
  }
  return options;
}

Result<std::int64_t> Number(const Options& options, const std::string& name,
                            std::int64_t otherwise) {
  const auto found = options.find(name);
  if (found == options.end()) return otherwise;
  const std::string& text = found->second;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || stop != end) {
    return BadUse(name + ": expected a whole number");
  }
  return value;
}

std::string Text(const Options& options, const std::string& name,
                 const std::string& otherwise) {
  const auto found = options.find(name);
  return found == options.end() ? otherwise : found->second;
}

Result<std::string> OneArgument(const CommandContext& context,
                                const std::string& name) {
  if (context.m_arguments.size() != 1) return BadUse("expected " + name);
  return context.m_arguments[0];
}

// A key that no other submission has, for users who give none.
std::string MakeKey() {
  std::random_device device;
  const std::uint64_t high = device();
  return ToString(JobId(high << 32 | device()));
}

Result<std::string> Show(const CommandContext& context, const std::string& path,
                         const std::vector<Column>& columns) {
  TRY_ASSIGN(const Json rows, CallDaemon(context.m_daemon, "GET", path, ""));
  if (context.m_is_json) return rows.dump() + "\n";
  return FormatTable(columns, rows.is_array() ? rows : Json::array({rows}));
}

Result<std::string> ShowJob(const CommandContext& context, const Json& job) {
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
  TRY_ASSIGN(const std::int64_t tasks, Number(options, "tasks", 1));
  TRY_ASSIGN(const std::int64_t millicores,
             Number(options, "millicores", 1000));
  TRY_ASSIGN(const std::int64_t mebibytes, Number(options, "mebibytes", 1024));
  TRY_ASSIGN(const std::int64_t accelerators,
             Number(options, "accelerators", 0));
  TRY_ASSIGN(const std::int64_t run, Number(options, "run_ms", 1000));
  const Json body = {{"member", Text(options, "member", "")},
                     {"class", Text(options, "class", "")},
                     {"key", Text(options, "key", MakeKey())},
                     {"tasks", tasks},
                     {"run_ms", run},
                     {"repeat", Text(options, "repeat", "allowed")},
                     {"demand",
                      {{"millicores", millicores},
                       {"mebibytes", mebibytes},
                       {"accelerators", accelerators}}}};
  TRY_ASSIGN(const Json job,
             CallDaemon(context.m_daemon, "POST", "jobs", body.dump()));
  return ShowJob(context, job);
}

Result<std::string> Status(const CommandContext& context) {
  TRY_ASSIGN(const std::string id, OneArgument(context, "JOB"));
  TRY_ASSIGN(const Json job,
             CallDaemon(context.m_daemon, "GET", "jobs/" + id, ""));
  return ShowJob(context, job);
}

Result<std::string> Cancel(const CommandContext& context) {
  TRY_ASSIGN(const std::string id, OneArgument(context, "JOB"));
  TRY_ASSIGN(const Json job,
             CallDaemon(context.m_daemon, "DELETE", "jobs/" + id, ""));
  return ShowJob(context, job);
}

Result<std::string> SendChange(const CommandContext& context, Json body,
                               std::int64_t seen) {
  const Json change = {{"operator", context.m_operator},
                       {"seen_version", seen},
                       {"body", std::move(body)}};
  TRY_ASSIGN(const Json result,
             CallDaemon(context.m_daemon, "POST", "config", change.dump()));
  if (context.m_is_json) return result.dump() + "\n";
  return "version " + result.at("version").dump() + ": " +
         result.at("change").at("field").get<std::string>() + " is now " +
         result.at("change").at("after").get<std::string>() + "\n";
}

Result<std::string> SetClass(const CommandContext& context) {
  if (context.m_arguments.empty()) return BadUse("expected CLASS");
  TRY_ASSIGN(
      const Options options,
      ReadOptions(context,
                  {"kind", "within_ms", "quantile", "finish", "keep", "seen"},
                  1));
  TRY_ASSIGN(const std::int64_t within, Number(options, "within_ms", 1000));
  TRY_ASSIGN(const std::int64_t quantile, Number(options, "quantile", 99));
  TRY_ASSIGN(const std::int64_t finish, Number(options, "finish", 99));
  TRY_ASSIGN(const std::int64_t keep, Number(options, "keep", 0));
  TRY_ASSIGN(const std::int64_t seen, Number(options, "seen", 0));
  const Json target = {{"class", context.m_arguments[0]},
                       {"kind_of_work", Text(options, "kind", "request")},
                       {"within_us", within * 1000},
                       {"quantile_percent", quantile},
                       {"finish_percent", finish},
                       {"keep_percent", keep}};
  return SendChange(context, {{"kind", "set_class"}, {"target", target}}, seen);
}

Result<std::string> SetTeam(const CommandContext& context) {
  if (context.m_arguments.empty()) return BadUse("expected TEAM");
  TRY_ASSIGN(
      const Options options,
      ReadOptions(context, {"millicores", "mebibytes", "accelerators", "seen"},
                  1));
  TRY_ASSIGN(const std::int64_t millicores, Number(options, "millicores", 0));
  TRY_ASSIGN(const std::int64_t mebibytes, Number(options, "mebibytes", 0));
  TRY_ASSIGN(const std::int64_t accelerators,
             Number(options, "accelerators", 0));
  TRY_ASSIGN(const std::int64_t seen, Number(options, "seen", 0));
  const Json quota = {{"team", context.m_arguments[0]},
                      {"limit",
                       {{"millicores", millicores},
                        {"mebibytes", mebibytes},
                        {"accelerators", accelerators}}}};
  return SendChange(context, {{"kind", "set_team"}, {"quota", quota}}, seen);
}

Result<std::string> SetMember(const CommandContext& context) {
  if (context.m_arguments.size() != 2) return BadUse("expected MEMBER TEAM");
  const Json entry = {{"member", context.m_arguments[0]},
                      {"team", context.m_arguments[1]}};
  return SendChange(context, {{"kind", "set_member"}, {"entry", entry}}, 0);
}

Result<std::string> Classes(const CommandContext& context) {
  TRY_ASSIGN(const Json document,
             CallDaemon(context.m_daemon, "GET", "config", ""));
  Json classes = Json::array();
  const bool is_one = !context.m_arguments.empty();
  for (const Json& target : document.at("classes")) {
    const bool is_wanted =
        !is_one || target.at("class") == Json(context.m_arguments[0]);
    if (is_wanted) classes.push_back(target);
  }
  if (is_one && classes.empty()) {
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

Result<std::string> Config(const CommandContext& context) {
  TRY_ASSIGN(const Json document,
             CallDaemon(context.m_daemon, "GET", "config", ""));
  return document.dump(context.m_is_json ? -1 : 2) + "\n";
}

Result<std::string> Nodes(const CommandContext& context) {
  return Show(context, "nodes",
              {{"NODE", "node"},
               {"STATE", "state"},
               {"FAILURE DOMAIN", "failure_domain"},
               {"HTTP", "http_address"},
               {"MESH", "mesh_address"}});
}

Result<std::string> Self(const CommandContext& context) {
  return Show(context, "self",
              {{"NODE", "node"},
               {"READY", "ready"},
               {"MEMBERS", "members_version"},
               {"CONFIGURATION", "configuration_version"},
               {"OPEN", "open_requests"},
               {"PARTITIONS", "partitions"}});
}

Result<std::string> Workers(const CommandContext& context) {
  return Show(context, "workers",
              {{"WORKER", "worker"},
               {"PARTITION", "partition"},
               {"STATE", "state"},
               {"TASKS", "tasks"},
               {"MILLICORES", "reserved.millicores"},
               {"OF", "capacity.millicores"},
               {"MEBIBYTES", "reserved.mebibytes"},
               {"OF", "capacity.mebibytes"}});
}

Result<std::string> Endpoints(const CommandContext& context) {
  return Show(context, "endpoints",
              {{"ENDPOINT", "endpoint"},
               {"STATE", "state"},
               {"LATENCY_US", "latency_us"},
               {"IN USE", "slots_in_use"},
               {"OWN", "slots_entitled"},
               {"SLOTS", "slots_total"}});
}

Result<std::string> Audit(const CommandContext& context) {
  TRY_ASSIGN(const Options options, ReadOptions(context, {"count"}, 0));
  TRY_ASSIGN(const std::int64_t count, Number(options, "count", 20));
  return Show(context, "audit?count=" + std::to_string(count),
              {{"VERSION", "version"},
               {"UNIX_MS", "unix_ms"},
               {"OPERATOR", "operator"},
               {"FIELD", "field"},
               {"BEFORE", "before"},
               {"AFTER", "after"}});
}

Result<std::string> Drain(const CommandContext& context) {
  TRY_ASSIGN(const Json answer,
             CallDaemon(context.m_daemon, "POST", "drain", ""));
  if (context.m_is_json) return answer.dump() + "\n";
  return std::string("the node finishes its requests and stops\n");
}

Result<std::string> DrawChartFile(const CommandContext& context) {
  TRY_ASSIGN(const std::string path, OneArgument(context, "FILE"));
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
       "submit a job; the same key gives the same job", Submit},
      {"status", "status JOB", "show a job", Status},
      {"cancel", "cancel JOB", "cancel a job; may be repeated", Cancel},
      {"classes", "classes [CLASS]", "list the classes and their targets",
       Classes},
      {"set-class",
       "set-class CLASS kind=request|batch|watch within_ms=N [quantile=P] "
       "[finish=P] [keep=P] [seen=VERSION]",
       "give a class its target", SetClass},
      {"set-team",
       "set-team TEAM millicores=N mebibytes=N [accelerators=N] "
       "[seen=VERSION]",
       "give a team its quota", SetTeam},
      {"set-member", "set-member MEMBER TEAM", "put a member into a team",
       SetMember},
      {"config", "config", "show the whole configuration", Config},
      {"nodes", "nodes", "list the nodes", Nodes},
      {"self", "self", "show the node that is asked", Self},
      {"workers", "workers", "list the workers of the node's partitions",
       Workers},
      {"endpoints", "endpoints", "list the endpoints as the node sees them",
       Endpoints},
      {"audit", "audit [count=N]", "show the last changes, newest first",
       Audit},
      {"drain", "drain", "stop the node gracefully", Drain},
      {"chart", "chart FILE", "print a state chart in the DOT language",
       DrawChartFile},
  };
  return *commands;
}

}  // namespace daisyarch
