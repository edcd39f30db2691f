#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/http/http_server.h"

namespace qh::control {

/** Fault injected into the handling of requests. */
enum class PlatformFault {
  kNone,
  /** Responds with status 503. */
  kOutage,
  /** Accepts requests and never responds. */
  kSilent,
  /** Applies transactions without responding to them; reads work. */
  kResponsesLost,
  /** Applies the next transaction and responds neither to it nor to any later request. */
  kSilentAfterWrite,
  /** Responds with a body that is not valid JSON. */
  kMalformed,
};

/** In-memory platform with a table and a VM list, in the process of the test. */
class PlatformFake {
 public:
  explicit PlatformFake(net::EventLoop& loop);

  IpEndpoint Endpoint() const { return m_server.LocalEndpoint(); }

  PlatformFault fault = PlatformFault::kNone;
  /** The VM list that is returned to clients. */
  nlohmann::json vms = nlohmann::json::array();
  std::uint64_t transactions_applied = 0;
  /** Runs before a request is handled, so that a test can change rows between two reads. */
  std::function<void(const http::HttpRequest&)> before_response;

  /** Writes the head, log and contract rows of a change, as if another VM had accepted it. */
  void PutContract(std::uint64_t revision, const std::string& customer,
                   const nlohmann::json& put_body);

  /** Returns the value of a row; null if the row is absent. */
  nlohmann::json Value(const std::string& key) const;

  /** Returns the number of rows whose keys start with `prefix`. */
  std::size_t CountRows(const std::string& prefix) const;

 private:
  struct Row {
    std::uint64_t version = 0;
    nlohmann::json value;
  };

  void Handle(const std::shared_ptr<http::HttpExchange>& exchange);
  http::HttpResponse HandleRequest(const http::HttpRequest& request);
  http::HttpResponse ListRows(const std::string& path) const;
  http::HttpResponse GetRow(const std::string& path) const;
  http::HttpResponse Transact(const nlohmann::json& body);

  std::map<std::string, Row> m_rows;
  /** Retained, because destroying an exchange without a response sends status 500. */
  std::vector<std::shared_ptr<http::HttpExchange>> m_pending_exchanges;
  http::HttpServer m_server;
};

}  // namespace qh::control
