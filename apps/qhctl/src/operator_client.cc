#include "operator_client.h"

#include <map>
#include <optional>
#include <utility>

#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::ctl {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/**
 * Longer than the time in which qh-control looks up an operation after a lost platform response.
 */
constexpr milliseconds kCallTimeout{10000};
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kRoundInterval{500};
constexpr int kUnavailable = 503;

OperatorResponse ToOperatorResponse(const http::HttpResponse& response, const IpEndpoint& from) {
  json body = json::parse(response.body.Bytes(), nullptr, false);
  return {response.status, body.is_discarded() ? json() : std::move(body), from};
}

std::string CodeOf(const OperatorResponse& response) {
  return response.body.is_object() ? response.body.value("code", "") : "";
}

/** Returns whether a request that failed with `failure` may have been applied. */
bool MayHaveBeenWritten(const http::HttpCallFailure& failure) {
  return failure.stage != http::CallStage::kNotConnected;
}

}  // namespace

struct OperatorClient::Impl {
  std::vector<IpEndpoint> operators;
  std::string token;
  net::EventLoop loop;
  std::map<IpEndpoint, std::unique_ptr<http::HttpClient>> clients;

  Impl(std::vector<IpEndpoint> endpoints, std::string bearer_token)
      : operators(std::move(endpoints)), token(std::move(bearer_token)) {}

  http::HttpClient& ClientFor(const IpEndpoint& peer) {
    std::unique_ptr<http::HttpClient>& client = clients[peer];
    if (client == nullptr) {
      http::HttpClientOptions options;
      options.connect_timeout = kConnectTimeout;
      client = std::make_unique<http::HttpClient>(loop, peer, options);
    }
    return *client;
  }

  http::HttpRequest MakeRequest(const std::string& method, const std::string& path,
                                const json& body) const {
    return {
        method, path, {{"authorization", "Bearer " + token}}, body.is_null() ? "" : body.dump()};
  }

  http::HttpCallResult Call(const IpEndpoint& peer, const http::HttpRequest& request) {
    std::optional<http::HttpCallResult> outcome;
    ClientFor(peer).Start(request, kCallTimeout, [&](http::HttpCallResult result) {
      outcome = std::move(result);
      loop.Stop();
    });
    loop.Run();
    return std::move(*outcome);
  }
};

OperatorClient::OperatorClient(std::vector<IpEndpoint> operators, std::string token)
    : m_impl(std::make_unique<Impl>(std::move(operators), std::move(token))) {}
OperatorClient::~OperatorClient() = default;

Result<OperatorResponse> OperatorClient::Get(const std::string& path) {
  Result<OperatorResponse> last = Error{ErrorCode::kInvalidArgument, "read", "", "no operators"};
  for (const IpEndpoint& peer : m_impl->operators) {
    last = CallAt(peer, "GET", path, nullptr);
    if (IsOk(last) && ValueOf(last).status != kUnavailable) {
      return last;
    }
  }
  return last;
}

Result<OperatorResponse> OperatorClient::Change(const std::string& method, const std::string& path,
                                                const json& body) {
  const http::HttpRequest request = m_impl->MakeRequest(method, path, body);
  bool may_have_been_written = false;
  Error last{ErrorCode::kInvalidArgument, "change", "", "no operators"};
  for (int round = 0; round < kMaxRounds; ++round) {
    for (const IpEndpoint& peer : m_impl->operators) {
      const http::HttpCallResult result = m_impl->Call(peer, request);
      if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
        may_have_been_written = may_have_been_written || MayHaveBeenWritten(*failure);
        last = failure->error;
        continue;
      }
      const OperatorResponse response =
          ToOperatorResponse(std::get<http::HttpResponse>(result), peer);
      if (response.status != kUnavailable) {
        return response;
      }
      may_have_been_written = may_have_been_written || CodeOf(response) != "platform_unavailable";
      last = {ErrorCode::kUnavailable, "change", ToString(peer), response.body.dump()};
    }
    Sleep(kRoundInterval);
  }
  last.detail += may_have_been_written ? "; it is not known whether the change was accepted"
                                       : "; nothing was written";
  return last;
}

Result<OperatorResponse> OperatorClient::CallAt(const IpEndpoint& peer, const std::string& method,
                                                const std::string& path, const json& body) {
  const http::HttpCallResult result = m_impl->Call(peer, m_impl->MakeRequest(method, path, body));
  if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
    return failure->error;
  }
  return ToOperatorResponse(std::get<http::HttpResponse>(result), peer);
}

std::vector<Result<OperatorResponse>> OperatorClient::GetFromAll(
    const std::vector<IpEndpoint>& peers, const std::string& path) {
  std::vector<Result<OperatorResponse>> responses(peers.size(), Error{});
  std::size_t pending = peers.size();
  for (std::size_t i = 0; i < peers.size(); ++i) {
    m_impl->ClientFor(peers[i]).Start(
        m_impl->MakeRequest("GET", path, nullptr), kConnectTimeout,
        [&, i](const http::HttpCallResult& result) {
          if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
            responses[i] = failure->error;
          } else {
            responses[i] = ToOperatorResponse(std::get<http::HttpResponse>(result), peers[i]);
          }
          --pending;
        });
  }
  while (pending > 0) {
    m_impl->loop.RunOnce(kConnectTimeout);
  }
  return responses;
}

void OperatorClient::Sleep(milliseconds duration) {
  const TimePoint end = m_impl->loop.Now() + duration;
  while (m_impl->loop.Now() < end) {
    m_impl->loop.RunOnce(duration);
  }
}

}  // namespace qh::ctl
