#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/http/http_server.h"

namespace qh::control {

/** What the platform does to requests. */
enum class PlatformFault {
  kNone,
  /** Answers 503. */
  kOutage,
  /** Takes requests and never answers. */
  kSilent,
  /** Performs transactions and never answers them; reads work. */
  kAnswersLost,
  /** Performs the next transaction and answers neither it nor anything after it. */
  kSilentAfterWrite,
  /** Answers with a body that is no JSON. */
  kMalformed,
};

/** The platform's table and VM list in the memory of the test. */
class PlatformFake {
 public:
  explicit PlatformFake(net::EventLoop& loop);

  IpEndpoint Endpoint() const { return m_server.LocalEndpoint(); }

  PlatformFault fault = PlatformFault::kNone;
  nlohmann::json vms = nlohmann::json::array();
  std::uint64_t transactions_applied = 0;

  /** Returns the value of a row, or null. */
  nlohmann::json Value(const std::string& key) const;

  /** Returns how many rows have keys with `prefix`. */
  std::size_t CountRows(const std::string& prefix) const;

 private:
  struct Row {
    std::uint64_t version = 0;
    nlohmann::json value;
  };

  void Handle(const std::shared_ptr<http::HttpExchange>& exchange);
  http::HttpResponse Answer(const http::HttpRequest& request);
  http::HttpResponse AnswerRows(const std::string& path) const;
  http::HttpResponse AnswerRow(const std::string& path) const;
  http::HttpResponse Transact(const nlohmann::json& body);

  std::map<std::string, Row> m_rows;
  /** Kept so that they are never answered. */
  std::vector<std::shared_ptr<http::HttpExchange>> m_unanswered;
  http::HttpServer m_server;
};

}  // namespace qh::control
