#pragma once

#include <optional>
#include <string>
#include <utility>

#include "quetzalhinge/http/http_server.h"

namespace qh::entry {

/** An HttpExchange without a connection; stores the response. */
class FakeExchange : public http::HttpExchange {
 public:
  explicit FakeExchange(http::HttpRequest request, bool ambiguous = false)
      : m_request(std::move(request)), m_ambiguous(ambiguous) {}

  const http::HttpRequest& Request() const noexcept override { return m_request; }
  bool HasAmbiguousFraming() const noexcept override { return m_ambiguous; }
  std::string PeerIp() const override { return "127.0.0.1"; }
  bool IsConnected() const noexcept override { return true; }
  void Respond(http::HttpResponse response) override { m_response = std::move(response); }

  /** Returns the response, or nullopt before Respond(). */
  const std::optional<http::HttpResponse>& Response() const noexcept { return m_response; }

 private:
  http::HttpRequest m_request;
  bool m_ambiguous;
  std::optional<http::HttpResponse> m_response;
};

}  // namespace qh::entry
