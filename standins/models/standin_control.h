#pragma once

#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "http/http_server.h"
#include "models/standin_main.h"
#include "wire/json.h"

namespace daisyarch {

/// A port that the system chooses, on the loopback interface.
inline const Address kAnyPort{"127.0.0.1", 0};

/// Prints "port NAME NUMBER", which the parent process reads.
inline void PrintPort(const std::string& name, std::uint16_t port) {
  std::cout << "port " << name << " " << port << std::endl;
}

inline HttpResponse JsonResponse(unsigned status, const Json& body) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.emplace_back("Content-Type", "application/json");
  response.m_body = body.dump();
  return response;
}

/// Opens a server for JSON requests of the parent process at any port and
/// prints this port as "control". `handle` returns the answer's body.
inline Result<std::unique_ptr<HttpServer>> OpenControl(
    boost::asio::io_context& loop,
    std::function<Json(const std::string& path, const Json& body)> handle) {
  TRY_ASSIGN(std::unique_ptr<HttpServer> server,
             HttpServer::Create(
                 loop, kAnyPort, HttpServerLimits(),
                 [handle = std::move(handle)](const HttpRequest& request,
                                              const HttpResponder& respond) {
                   const Json body =
                       Json::parse(request.m_body, nullptr, false);
                   if (!body.is_object()) return respond(JsonResponse(400, {}));
                   respond(JsonResponse(200, handle(request.m_target, body)));
                 }));
  PrintPort("control", server->port());
  return server;
}

}  // namespace daisyarch
