#include "ingress.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

#include "fakes/fake_site.h"

namespace daisyarch::adapter {

namespace {

HttpRequest MakeGetRequest(const std::string& target) {
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = target;
  request.m_headers.emplace_back("Host", "host");
  return request;
}

// Returns the status of the answer to a GET request, or 0 if none comes within
// a second.
unsigned StatusOf(fleet::FakeSite& site, const std::string& target) {
  unsigned status = 0;
  HandleJobRequest(
      *site.m_nodes.front()->m_node, MakeGetRequest(target),
      [&status](const HttpResponse& answer) { status = answer.m_status; });
  RunFor(site.m_loop, std::chrono::seconds(1));
  return status;
}

// Keeps what is logged until it is destroyed.
struct LogCapture {
  LogCapture() : m_output(std::cout.rdbuf(m_text.rdbuf())) {}
  ~LogCapture() { std::cout.rdbuf(m_output); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  std::ostringstream m_text;
  std::streambuf* m_output;
};

HttpRequest MakeSubmission() {
  HttpRequest request = MakeGetRequest("/batch/0123456789abcdef");
  request.m_method = "POST";
  request.m_body =
      R"({"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":9}]})";
  return request;
}

}  // namespace

// A node whose configuration watch is on a dead connection does not know a
// newly added queue. It has to read the configuration again before it answers
// 404.
TEST_CASE("A queue is found as soon as the operator has added it") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  CHECK(StatusOf(site, "/batch/") == 200);
  CHECK(StatusOf(site, "/added/") == 404);
  site.m_faults.m_watches_unanswered_until =
      site.m_loop.m_now + std::chrono::minutes(1);
  RunFor(site.m_loop, std::chrono::milliseconds(1500));
  fleet::JobRoutes routes = site.m_routes;
  routes.m_version = ConfigurationVersion(2);
  routes.m_routes.push_back({"host", "/added/", {}});
  Configure(site, routes);
  CHECK(StatusOf(site, "/added/") == 200);
}

// The store's stale reads may give an older configuration than the one in
// force. A node that took it would refuse requests for queues that it has
// served.
TEST_CASE("A stale answer does not roll the configuration back") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::FleetNode& node = *fleet::AddSiteNode(site, "n0").m_node;
  const fleet::JobRoutes older = site.m_routes;
  fleet::JobRoutes newer = older;
  newer.m_version = ConfigurationVersion(2);
  newer.m_routes.push_back({"host", "/added/", {}});
  Configure(site, newer);
  RunFor(site.m_loop, std::chrono::seconds(2));
  CHECK(StatusOf(site, "/added/") == 200);
  Configure(site, older);
  CHECK(StatusOf(site, "/unknown/") == 404);
  CHECK(StatusOf(site, "/added/") == 200);
  CHECK(node.m_routes.m_version == ConfigurationVersion(2));
}

// The read that confirms the configuration fails while the store is down; the
// request still has to be answered.
TEST_CASE("An unknown queue is refused with 404 while the store is down") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  site.m_faults.m_store_down_until =
      site.m_loop.m_now + std::chrono::minutes(1);
  CHECK(StatusOf(site, "/unknown/") == 404);
}

// Guards against a submission that is told to come back soon, or that the job
// is accepted, although its cancellation has found no job and was acknowledged.
TEST_CASE("A job that was cancelled before it was accepted is refused") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  HttpRequest cancellation = MakeSubmission();
  cancellation.m_method = "DELETE";
  HttpResponse answer;
  const auto record = [&answer](const HttpResponse& given) { answer = given; };
  HandleJobRequest(*site.m_nodes.front()->m_node, cancellation, record);
  RunFor(site.m_loop, std::chrono::milliseconds(100));
  CHECK(answer.m_status == 410);
  HandleJobRequest(*site.m_nodes.front()->m_node, MakeSubmission(), record);
  RunFor(site.m_loop, std::chrono::milliseconds(100));
  CHECK(answer.m_status == 503);
  // The retention period of the site and its slack.
  CHECK(FindHeader(answer.m_headers, "Retry-After") == "630");
  CHECK(StatusOf(site, "/batch/0123456789abcdef") == 410);
}

// When the store has not answered for seconds, a submission must not wait for a
// write that would time out: it is refused with 503 before anything is sent.
TEST_CASE("A job is refused at once while the store is unreachable") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  site.m_faults.m_store_down_until =
      site.m_loop.m_now + std::chrono::minutes(1);
  site.m_faults.m_is_store_unresponsive = true;
  RunFor(site.m_loop, std::chrono::milliseconds(3500));
  const HttpRequest request = MakeSubmission();
  HttpResponse answer;
  HandleJobRequest(*site.m_nodes.front()->m_node, request,
                   [&answer](const HttpResponse& given) { answer = given; });
  RunFor(site.m_loop, std::chrono::milliseconds(10));
  CHECK(answer.m_status == 503);
  CHECK(FindHeader(answer.m_headers, "Retry-After") == "1");
  // Jobs are accepted again as soon as the store is back.
  site.m_faults.m_store_down_until = site.m_loop.m_now;
  RunFor(site.m_loop, std::chrono::seconds(2));
  HandleJobRequest(*site.m_nodes.front()->m_node, request,
                   [&answer](const HttpResponse& given) { answer = given; });
  RunFor(site.m_loop, std::chrono::seconds(1));
  CHECK(answer.m_status == 200);
}

// The line of a request that was under way while the configuration changed gave
// the new version, so a log could not tell which version had decided.
TEST_CASE("A job whose text is no UTF-8 is refused with 400") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  HttpRequest request = MakeSubmission();
  request.m_body.replace(request.m_body.find('x'), 1, "\xe1");
  unsigned status = 0;
  HandleJobRequest(
      *site.m_nodes.front()->m_node, request,
      [&status](const HttpResponse& answer) { status = answer.m_status; });
  CHECK(status == 400);
}

TEST_CASE("A request's log line states the configuration that routed it") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::FleetNode& node = *fleet::AddSiteNode(site, "n0").m_node;
  RunFor(site.m_loop, std::chrono::seconds(2));
  const LogCapture log;
  HandleJobRequest(node, MakeSubmission(), [](const HttpResponse&) {});
  node.m_routes.m_version = ConfigurationVersion(2);
  RunFor(site.m_loop, std::chrono::seconds(1));
  CHECK_THAT(log.m_text.str(),
             Catch::Contains("event=job_submitted") &&
                 Catch::Contains("configuration=1 status=200"));
}

// Counts and unknown queues left no line, so a log could not tell which
// configuration a request that tests the routes had been answered from.
TEST_CASE("Counts and unknown queues are logged with their configuration") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  const LogCapture log;
  CHECK(StatusOf(site, "/batch/") == 200);
  CHECK(StatusOf(site, "/unknown/") == 404);
  CHECK_THAT(log.m_text.str(),
             Catch::Contains("event=pending_counted host=host prefix=/batch/ "
                             "configuration=1 status=200") &&
                 Catch::Contains("event=queue_not_found host=host "
                                 "path=/unknown/ configuration=1"));
}

}  // namespace daisyarch::adapter
