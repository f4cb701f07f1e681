#include "control_api.h"

#include <charconv>
#include <utility>
#include <vector>

#include "error_response.h"
#include "job_calls.h"
#include "job_status_fields.h"
#include "wire/configuration_fields.h"
#include "wire/node_fields.h"

namespace daisyarch {

namespace {

constexpr std::size_t kDefaultAuditEntries = 20;
constexpr std::size_t kMaximumAuditEntries = 1000;

HttpResponse MakeJsonResponse(const Json& body) {
  HttpResponse response;
  response.m_headers.emplace_back("Content-Type", "application/json");
  response.m_body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse MakeTextResponse(std::string body) {
  HttpResponse response;
  response.m_headers.emplace_back("Content-Type", "text/plain");
  response.m_body = std::move(body);
  return response;
}

template <typename Value>
HttpResponse MakeResponse(const Result<Value>& result) {
  if (!result) return MakeErrorResponse(result.assume_error());
  return MakeJsonResponse(Encode(result.assume_value()));
}

JobStatusCallback MakeJobStatusCallback(HttpResponder respond) {
  return [respond = std::move(respond)](const Result<JobStatus>& result) {
    respond(MakeResponse(result));
  };
}

Error MakeNoSuchPathError(const HttpRequest& request) {
  return Error{ErrorCode::kNotFound, "find path", request.m_peer,
               request.m_method + " " + request.m_target};
}

// A job as submitted. ReadSubmission adds the fields that come from the
// configuration.
struct Submission {
  std::string m_member;
  std::string m_class;
  std::string m_key;
  Resources m_demand;
  std::uint32_t m_tasks = 1;
  std::int64_t m_run_milliseconds = 0;
  RepeatPolicy m_repeat = RepeatPolicy::kAllowed;
};

template <typename Visitor>
void VisitFields(Visitor& visit, Submission& submission) {
  visit("member", submission.m_member);
  visit("class", submission.m_class);
  visit("key", submission.m_key);
  visit("demand", submission.m_demand);
  visit("tasks", submission.m_tasks);
  visit("run_ms", submission.m_run_milliseconds);
  visit("repeat", submission.m_repeat);
}

constexpr std::size_t kMaximumNameLength = 128;
constexpr std::int64_t kMaximumRunMilliseconds = 30LL * 24 * 3600 * 1000;

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaximumNameLength;
}

Result<JobRequest> ReadSubmission(const ControlApi& api,
                                  const HttpRequest& request) {
  TRY_ASSIGN(
      const Submission submission,
      DecodeJson<Submission>(request.m_body, "read job", request.m_peer));
  const auto fail = [&](const std::string& detail) {
    return Error{ErrorCode::kInvalidArgument, "read job", request.m_peer,
                 detail};
  };
  if (!IsValidName(submission.m_member) || !IsValidName(submission.m_key)) {
    return fail("member and key must have 1 to 128 characters");
  }
  if (submission.m_run_milliseconds < 0 ||
      submission.m_run_milliseconds > kMaximumRunMilliseconds) {
    return fail("run_ms must be between 0 and 30 days");
  }
  const Configuration& configuration = api.m_configuration.m_current;
  const ClassTarget* target =
      FindClass(configuration, ClassId(submission.m_class));
  if (target == nullptr || target->m_kind == ClassKind::kRequest) {
    return fail("class \"" + submission.m_class +
                "\" is not a task class with a target");
  }
  JobRequest job;
  job.m_member = MemberId(submission.m_member);
  job.m_team = TeamOf(configuration, job.m_member);
  job.m_class = target->m_class;
  job.m_kind = target->m_kind;
  job.m_key = IdempotencyKey(submission.m_key);
  job.m_demand = submission.m_demand;
  job.m_task_count = submission.m_tasks;
  job.m_run_time = FromMilliseconds(submission.m_run_milliseconds);
  job.m_start_within = target->m_within;
  job.m_repeat = submission.m_repeat;
  job.m_submitted_unix_milliseconds =
      api.m_runtime.m_clock.m_unix_milliseconds();
  return job;
}

void HandleSubmitJob(ControlApi& api, const HttpRequest& request,
                     HttpResponder respond) {
  const auto job = ReadSubmission(api, request);
  if (!job) return respond(MakeErrorResponse(job.assume_error()));
  SubmitJobToOwner(api.m_partitions, job.assume_value(),
                   MakeJobStatusCallback(std::move(respond)));
}

// Handles GET and DELETE of jobs/ID.
void HandleJob(ControlApi& api, const HttpRequest& request,
               const std::string& id, HttpResponder respond) {
  const auto job = ParseJobId(id);
  if (!job) return respond(MakeErrorResponse(job.assume_error()));
  if (request.m_method == "DELETE") {
    return CancelJobAtOwner(api.m_partitions, job.assume_value(),
                            MakeJobStatusCallback(std::move(respond)));
  }
  if (request.m_method == "GET") {
    return FindJobAtOwner(api.m_partitions, job.assume_value(),
                          MakeJobStatusCallback(std::move(respond)));
  }
  respond(MakeErrorResponse(MakeNoSuchPathError(request)));
}

void HandleConfigurationChange(ControlApi& api, const HttpRequest& request,
                               HttpResponder respond) {
  // The node, not the operator, sets the id and the time of the change.
  auto parsed = ParseJson(request.m_body, "read change", request.m_peer);
  if (!parsed) return respond(MakeErrorResponse(parsed.assume_error()));
  Json body = std::move(parsed).assume_value();
  if (body.is_object()) {
    const Member& self = api.m_membership.m_table.m_self;
    body["id"] = self.m_node.value() + "/" +
                 std::to_string(self.m_incarnation.value()) + "/" +
                 std::to_string(api.m_next_change_number++);
    body["unix_ms"] = api.m_runtime.m_clock.m_unix_milliseconds();
  }
  const auto change =
      Decode<ConfigurationChange>(body, "read change", request.m_peer);
  if (!change) return respond(MakeErrorResponse(change.assume_error()));
  ChangeConfiguration(api.m_configuration, change.assume_value(),
                      [respond](const Result<Configuration>& result) {
                        respond(MakeResponse(result));
                      });
}

std::size_t ParseAuditCount(const std::string& query) {
  const std::string prefix = "count=";
  std::size_t count = kDefaultAuditEntries;
  if (query.compare(0, prefix.size(), prefix) != 0) return count;
  std::from_chars(query.data() + prefix.size(), query.data() + query.size(),
                  count);
  return std::min(std::max<std::size_t>(count, 1), kMaximumAuditEntries);
}

Json DescribeNodes(const ControlApi& api) {
  Json nodes = Json::array();
  const PeerTable& table = api.m_membership.m_table;
  for (const Member& member : table.m_members.m_members) {
    Json node = Encode(member);
    const auto peer = table.m_peers.find(member.m_node);
    node["state"] = "self";
    if (peer != table.m_peers.end()) {
      const auto state = static_cast<std::size_t>(peer->second.m_state);
      node["state"] = PeerBinding().m_states[state];
    }
    nodes.push_back(std::move(node));
  }
  return nodes;
}

Json DescribeEndpoints(const ControlApi& api) {
  Json endpoints = Json::array();
  for (const auto& [id, endpoint] : api.m_gateway.m_endpoints) {
    const SlotAccount& account = api.m_gateway.m_ledger.m_accounts.at(id);
    const auto state = static_cast<std::size_t>(endpoint.m_state);
    endpoints.push_back({{"endpoint", id.value()},
                         {"state", EndpointBinding().m_states[state]},
                         {"latency_us", Mean(endpoint.m_latency).count()},
                         {"slots_in_use", account.m_in_use.value()},
                         {"slots_entitled", EntitledSlots(account).value()},
                         {"slots_total", account.m_total.value()}});
  }
  return endpoints;
}

Json DescribeSelf(const ControlApi& api) {
  const PeerTable& table = api.m_membership.m_table;
  Json partitions = Json::array();
  for (const PartitionId& partition : OwnedPartitions(api.m_partitions)) {
    partitions.push_back(partition.value());
  }
  return {{"node", table.m_self.m_node.value()},
          {"ready", api.m_is_ready()},
          {"members_version", table.m_members.m_version.value()},
          {"configuration_version",
           api.m_configuration.m_current.m_version.value()},
          {"open_requests", api.m_gateway.m_open_requests.size()},
          {"partitions", std::move(partitions)}};
}

void HandleGet(ControlApi& api, const HttpRequest& request,
               const std::string& path, const std::string& query,
               HttpResponder respond) {
  if (path == "config") {
    return respond(MakeJsonResponse(Encode(api.m_configuration.m_current)));
  }
  if (path == "nodes") return respond(MakeJsonResponse(DescribeNodes(api)));
  if (path == "self") return respond(MakeJsonResponse(DescribeSelf(api)));
  if (path == "workers") {
    return respond(
        MakeJsonResponse(Encode(LocalWorkerStatuses(api.m_partitions))));
  }
  if (path == "endpoints") {
    return respond(MakeJsonResponse(DescribeEndpoints(api)));
  }
  if (path == "audit") {
    return ReadAudit(api.m_configuration, ParseAuditCount(query),
                     [respond](const Result<std::vector<AuditEntry>>& result) {
                       respond(MakeResponse(result));
                     });
  }
  respond(MakeErrorResponse(MakeNoSuchPathError(request)));
}

void SetGauges(ControlApi& api) {
  Metrics& metrics = api.m_runtime.m_metrics;
  const auto count = [](std::size_t value) {
    return static_cast<double>(value);
  };
  metrics.SetGauge("open_requests",
                   count(api.m_gateway.m_open_requests.size()));
  metrics.SetGauge("owned_partitions",
                   count(OwnedPartitions(api.m_partitions).size()));
  metrics.SetGauge("members",
                   count(api.m_membership.m_table.m_members.m_members.size()));
  metrics.SetGauge(
      "configuration_version",
      static_cast<double>(api.m_configuration.m_current.m_version.value()));
  const StoreState store = api.m_runtime.m_store_health.m_state;
  metrics.SetGauge("store_down", store == StoreState::kDown ? 1 : 0);
}

void HandleHealth(ControlApi& api, const HttpRequest& request,
                  const HttpResponder& respond) {
  if (request.m_target == "/metrics") {
    SetGauges(api);
    return respond(MakeTextResponse(api.m_runtime.m_metrics.Render()));
  }
  const bool is_ready = request.m_target == "/healthz" || api.m_is_ready();
  HttpResponse response = MakeTextResponse(is_ready ? "ok\n" : "not ready\n");
  if (!is_ready) response.m_status = HttpStatusOf(ErrorCode::kUnavailable);
  respond(std::move(response));
}

}  // namespace

bool IsControlPath(const std::string& target) {
  if (target == "/healthz" || target == "/readyz" || target == "/metrics") {
    return true;
  }
  return target.rfind(kControlPrefix, 0) == 0;
}

void HandleControl(ControlApi& api, const HttpRequest& request,
                   HttpResponder respond) {
  const std::string prefix = kControlPrefix;
  if (request.m_target.rfind(prefix, 0) != 0) {
    return HandleHealth(api, request, respond);
  }
  const std::string rest = request.m_target.substr(prefix.size());
  const auto query_mark = rest.find('?');
  const std::string path = rest.substr(0, query_mark);
  const std::string query =
      query_mark == std::string::npos ? "" : rest.substr(query_mark + 1);
  const std::string jobs = "jobs/";
  if (path.rfind(jobs, 0) == 0) {
    return HandleJob(api, request, path.substr(jobs.size()),
                     std::move(respond));
  }
  if (request.m_method == "GET") {
    return HandleGet(api, request, path, query, std::move(respond));
  }
  if (request.m_method == "POST" && path == "jobs") {
    return HandleSubmitJob(api, request, std::move(respond));
  }
  if (request.m_method == "POST" && path == "config") {
    return HandleConfigurationChange(api, request, std::move(respond));
  }
  if (request.m_method == "POST" && path == "drain") {
    api.m_start_drain();
    return respond(MakeJsonResponse({{"draining", true}}));
  }
  respond(MakeErrorResponse(MakeNoSuchPathError(request)));
}

}  // namespace daisyarch
