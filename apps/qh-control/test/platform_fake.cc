#include "platform_fake.h"

#include <catch2/catch.hpp>
#include <utility>

#include "table_keys.h"

namespace qh::control {
namespace {

using http::HttpExchange;
using http::HttpResponse;
using nlohmann::json;

constexpr std::string_view kRowPath = "/v1/table/rows/";

HttpResponse Json(int status, const json& body) { return {status, {}, body.dump(), false}; }

http::HttpServerOptions Options() {
  http::HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  return options;
}

}  // namespace

PlatformFake::PlatformFake(net::EventLoop& loop)
    : m_server(loop, Options(),
               [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); }) {
  REQUIRE(IsOk(m_server.Start()));
}

json PlatformFake::Value(const std::string& key) const {
  const auto found = m_rows.find(key);
  return found == m_rows.end() ? json() : found->second.value;
}

std::size_t PlatformFake::CountRows(const std::string& prefix) const {
  std::size_t count = 0;
  for (const auto& [key, row] : m_rows) {
    count += key.rfind(prefix, 0) == 0 ? 1 : 0;
  }
  return count;
}

void PlatformFake::PutContract(std::uint64_t revision, const std::string& customer,
                               const json& put_body) {
  const json value{{"revision", revision},
                   {"version", revision},
                   {"customer", customer},
                   {"operation_id", put_body.at("operation")},
                   {"author", put_body.at("author")},
                   {"accepted_us", 0},
                   {"contract", put_body.at("contract")}};
  Transact({{"conditions", json::array()},
            {"writes",
             {{{"key", "head"}, {"value", {{"revision", revision}}}},
              {{"key", LogKey(revision)}, {"value", value}},
              {{"key", ContractKey(customer)}, {"value", value}}}}});
}

void PlatformFake::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const bool is_write = exchange->Request().method == "POST";
  switch (fault) {
    case PlatformFault::kOutage:
      exchange->Respond({503, {}, "{}", false});
      return;
    case PlatformFault::kMalformed:
      exchange->Respond({200, {}, "{\"key\":", false});
      return;
    case PlatformFault::kSilent:
      m_pending_exchanges.push_back(exchange);
      return;
    case PlatformFault::kResponsesLost:
    case PlatformFault::kSilentAfterWrite:
      if (is_write) {
        HandleRequest(exchange->Request());
        m_pending_exchanges.push_back(exchange);
        fault = fault == PlatformFault::kSilentAfterWrite ? PlatformFault::kSilent : fault;
        return;
      }
      break;
    case PlatformFault::kNone:
      break;
  }
  if (before_response != nullptr) {
    before_response(exchange->Request());
  }
  exchange->Respond(HandleRequest(exchange->Request()));
}

HttpResponse PlatformFake::HandleRequest(const http::HttpRequest& request) {
  const std::string path(http::PathOnly(request.path));
  if (path == "/v1/vms") {
    return Json(200, {{"vms", vms}});
  }
  if (path == "/v1/table/rows") {
    return ListRows(request.path);
  }
  if (path.rfind(kRowPath, 0) == 0) {
    return GetRow(path);
  }
  if (path == "/v1/table/transactions") {
    return Transact(json::parse(request.body.Bytes()));
  }
  return Json(404, json::object());
}

HttpResponse PlatformFake::GetRow(const std::string& path) const {
  // The key is percent-encoded like a query parameter.
  const std::string key = *http::QueryParameter("?k=" + path.substr(kRowPath.size()), "k");
  const auto found = m_rows.find(key);
  if (found == m_rows.end()) {
    return Json(404, json::object());
  }
  return Json(200,
              {{"key", key}, {"version", found->second.version}, {"value", found->second.value}});
}

HttpResponse PlatformFake::ListRows(const std::string& path) const {
  const std::string prefix = http::QueryParameter(path, "prefix").value_or("");
  const std::string after = http::QueryParameter(path, "after").value_or("");
  const auto limit =
      static_cast<std::size_t>(std::stoul(http::QueryParameter(path, "limit").value_or("1000")));
  json rows = json::array();
  for (const auto& [key, row] : m_rows) {
    if (key.rfind(prefix, 0) == 0 && key > after && rows.size() < limit) {
      rows.push_back({{"key", key}, {"version", row.version}, {"value", row.value}});
    }
  }
  return Json(200, {{"rows", rows}});
}

HttpResponse PlatformFake::Transact(const json& body) {
  for (const json& condition : body.at("conditions")) {
    const auto found = m_rows.find(condition.at("key").get<std::string>());
    const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
    if (version != condition.at("version").get<std::uint64_t>()) {
      return Json(409, {{"applied", false}, {"key", condition.at("key")}, {"version", version}});
    }
  }
  for (const json& write : body.at("writes")) {
    Row& row = m_rows[write.at("key").get<std::string>()];
    ++row.version;
    row.value = write.at("value");
  }
  ++transactions_applied;
  return Json(200, {{"applied", true}});
}

}  // namespace qh::control
