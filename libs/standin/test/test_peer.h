#pragma once

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "quetzalhinge/http/http_client.h"

namespace qh::standin {

/** HTTP client that makes blocking calls to a server on the same event loop. */
class TestPeer {
 public:
  TestPeer(net::EventLoop& loop, const IpEndpoint& server)
      : m_loop(loop), m_client(loop, server, {}) {}

  /** Makes a call on a new connection and returns its result. */
  http::HttpCallResult Call(const http::HttpRequest& request,
                            std::chrono::milliseconds timeout = std::chrono::seconds(30)) {
    http::HttpCallResult outcome;
    m_client.StartOnNewConnection(request, timeout, [&](http::HttpCallResult result) {
      outcome = std::move(result);
      m_loop.Stop();
    });
    m_loop.Run();
    return outcome;
  }

  /** Returns the response to a GET request; requires that there is one. */
  http::HttpResponse Get(const std::string& path) { return Expect({"GET", path, {}, ""}); }

  /** Posts a JSON body and returns the response; requires that there is one. */
  http::HttpResponse Post(const std::string& path, const nlohmann::json& body) {
    return Expect({"POST", path, {}, body.dump()});
  }

  http::HttpClient& Client() { return m_client; }

 private:
  http::HttpResponse Expect(const http::HttpRequest& request) {
    http::HttpCallResult result = Call(request);
    REQUIRE(std::holds_alternative<http::HttpResponse>(result));
    return std::get<http::HttpResponse>(std::move(result));
  }

  net::EventLoop& m_loop;
  http::HttpClient m_client;
};

/** Runs the loop until `condition` is true, for at most 30 s; returns whether it is true. */
template <typename Condition>
bool RunUntil(net::EventLoop& loop, Condition condition) {
  const TimePoint limit = loop.Now() + std::chrono::seconds(30);
  while (!condition() && loop.Now() < limit) {
    loop.RunOnce(std::chrono::milliseconds(10));
  }
  return condition();
}

}  // namespace qh::standin
