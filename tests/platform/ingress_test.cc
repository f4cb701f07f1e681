#include "ingress.h"

#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::adapter {

namespace {

HttpRequest Ask(const std::string& target) {
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = target;
  request.m_headers.emplace_back("Host", "host");
  return request;
}

// The status that a caller gets within a second; 0: none.
unsigned StatusOf(fleet::FakeSite& site, const std::string& target) {
  unsigned status = 0;
  HandleCaller(
      *site.m_nodes.front()->m_node, Ask(target),
      [&status](const HttpResponse& answer) { status = answer.m_status; });
  RunFor(site.m_loop, std::chrono::seconds(1));
  return status;
}

}  // namespace

TEST_CASE("A queue is found as soon as the operator has added it") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  CHECK(StatusOf(site, "/batch/") == 200);
  CHECK(StatusOf(site, "/added/") == 404);
  site.m_faults.m_watches_silent_until =
      site.m_loop.m_now + std::chrono::minutes(1);
  RunFor(site.m_loop, std::chrono::milliseconds(1500));
  fleet::JobRoutes routes = site.m_routes;
  routes.m_version = ConfigurationVersion(2);
  routes.m_routes.push_back({"host", "/added/", {}});
  Configure(site, routes);
  CHECK(StatusOf(site, "/added/") == 200);
}

TEST_CASE("A queue that is unknown is refused without the store as well") {
  fleet::FakeSite site(1);
  site.m_routes = fleet::MakeTestRoutes();
  fleet::AddSiteNode(site, "n0");
  RunFor(site.m_loop, std::chrono::seconds(2));
  site.m_faults.m_store_down_until =
      site.m_loop.m_now + std::chrono::minutes(1);
  CHECK(StatusOf(site, "/unknown/") == 404);
}

}  // namespace daisyarch::adapter
