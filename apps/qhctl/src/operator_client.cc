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

/** Above the time that qh-control takes to look up a lost answer of the platform. */
constexpr milliseconds kCallLimit{10000};
constexpr milliseconds kConnectLimit{1000};
constexpr milliseconds kRoundPause{500};
constexpr int kUnavailable = 503;

OperatorAnswer ToAnswer(const http::HttpResponse& response, const IpEndpoint& from) {
  json body = json::parse(response.body, nullptr, false);
  return {response.status, body.is_discarded() ? json() : std::move(body), from};
}

std::string CodeOf(const OperatorAnswer& answer) {
  return answer.body.is_object() ? answer.body.value("code", "") : "";
}

/** Whether a request that failed like this may have been carried out. */
bool MayBeWritten(const http::HttpCallFailure& failure) {
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

  http::HttpClient& ClientOf(const IpEndpoint& peer) {
    std::unique_ptr<http::HttpClient>& client = clients[peer];
    if (client == nullptr) {
      http::HttpClientOptions options;
      options.connect_timeout = kConnectLimit;
      client = std::make_unique<http::HttpClient>(loop, peer, options);
    }
    return *client;
  }

  http::HttpRequest RequestOf(const std::string& method, const std::string& path,
                              const json& body) const {
    return {
        method, path, {{"authorization", "Bearer " + token}}, body.is_null() ? "" : body.dump()};
  }

  http::HttpCallResult Call(const IpEndpoint& peer, const http::HttpRequest& request) {
    std::optional<http::HttpCallResult> outcome;
    ClientOf(peer).Start(request, kCallLimit, [&](http::HttpCallResult result) {
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

Result<OperatorAnswer> OperatorClient::Get(const std::string& path) {
  Result<OperatorAnswer> last = Error{ErrorCode::kInvalidArgument, "read", "", "no operators"};
  for (const IpEndpoint& peer : m_impl->operators) {
    last = CallAt(peer, "GET", path, nullptr);
    if (IsOk(last) && ValueOf(last).status != kUnavailable) {
      return last;
    }
  }
  return last;
}

Result<OperatorAnswer> OperatorClient::Change(const std::string& method, const std::string& path,
                                              const json& body) {
  const http::HttpRequest request = m_impl->RequestOf(method, path, body);
  bool may_be_written = false;
  Error last{ErrorCode::kInvalidArgument, "change", "", "no operators"};
  for (int round = 0; round < kRounds; ++round) {
    for (const IpEndpoint& peer : m_impl->operators) {
      const http::HttpCallResult result = m_impl->Call(peer, request);
      if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
        may_be_written = may_be_written || MayBeWritten(*failure);
        last = failure->error;
        continue;
      }
      const OperatorAnswer answer = ToAnswer(std::get<http::HttpResponse>(result), peer);
      if (answer.status != kUnavailable) {
        return answer;
      }
      may_be_written = may_be_written || CodeOf(answer) != "platform_unavailable";
      last = {ErrorCode::kUnavailable, "change", ToString(peer), answer.body.dump()};
    }
    Sleep(kRoundPause);
  }
  last.detail += may_be_written ? "; it is not known whether the change was accepted"
                                : "; nothing was written";
  return last;
}

Result<OperatorAnswer> OperatorClient::CallAt(const IpEndpoint& peer, const std::string& method,
                                              const std::string& path, const json& body) {
  const http::HttpCallResult result = m_impl->Call(peer, m_impl->RequestOf(method, path, body));
  if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
    return failure->error;
  }
  return ToAnswer(std::get<http::HttpResponse>(result), peer);
}

std::vector<Result<OperatorAnswer>> OperatorClient::GetFromAll(const std::vector<IpEndpoint>& peers,
                                                               const std::string& path) {
  std::vector<Result<OperatorAnswer>> answers(peers.size(), Error{});
  std::size_t waiting = peers.size();
  for (std::size_t i = 0; i < peers.size(); ++i) {
    m_impl->ClientOf(peers[i]).Start(
        m_impl->RequestOf("GET", path, nullptr), kConnectLimit,
        [&, i](const http::HttpCallResult& result) {
          if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
            answers[i] = failure->error;
          } else {
            answers[i] = ToAnswer(std::get<http::HttpResponse>(result), peers[i]);
          }
          --waiting;
        });
  }
  while (waiting > 0) {
    m_impl->loop.RunOnce(kConnectLimit);
  }
  return answers;
}

void OperatorClient::Sleep(milliseconds duration) {
  const TimePoint end = m_impl->loop.Now() + duration;
  while (m_impl->loop.Now() < end) {
    m_impl->loop.RunOnce(duration);
  }
}

}  // namespace qh::ctl
