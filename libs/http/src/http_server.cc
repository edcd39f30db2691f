#include "quetzalhinge/http/http_server.h"

#include <utility>

namespace qh::http {
namespace {

/** Maximum size of a request head. */
constexpr std::size_t kMaxHeadBytes = 64 * 1024;

/** Maximum number of header fields of a request. */
constexpr std::size_t kMaxHeadFields = 100;

ConnectionLimits LimitsOf(const HttpServerOptions& options) {
  ConnectionLimits limits;
  limits.message = {kMaxHeadBytes, kMaxHeadFields, options.max_body_bytes, options.memory_budget};
  limits.head_timeout = options.request_timeout;
  limits.idle_timeout = options.request_timeout;
  limits.max_connections = options.max_connections;
  limits.receive_buffer_bytes = options.receive_buffer_bytes;
  return limits;
}

/** Adapts the exchange of a ConnectionServer to the interface HttpExchange. */
class ConnectionExchange : public HttpExchange {
 public:
  explicit ConnectionExchange(std::shared_ptr<ServerExchange> exchange)
      : m_exchange(std::move(exchange)) {}

  const HttpRequest& Request() const noexcept override { return m_exchange->Request(); }
  std::string PeerIp() const override { return m_exchange->Peer().ip; }
  bool IsConnected() const noexcept override { return m_exchange->IsConnected(); }
  void Respond(HttpResponse response) override { m_exchange->Respond(response); }
  void Abort(std::string_view raw_bytes) override { m_exchange->Abort(raw_bytes); }

 private:
  std::shared_ptr<ServerExchange> m_exchange;
};

}  // namespace

struct HttpServer::Impl {
  IpEndpoint listen;
  Handler handler;
  ConnectionServer server;

  Impl(net::EventLoop& loop, const HttpServerOptions& options, Handler on_request)
      : listen(options.listen),
        handler(std::move(on_request)),
        server(loop, LimitsOf(options), [this](std::shared_ptr<ServerExchange> exchange) {
          handler(std::make_shared<ConnectionExchange>(std::move(exchange)));
        }) {
    server.OnRefusal(options.refusal_response);
  }
};

HttpServer::HttpServer(net::EventLoop& loop, const HttpServerOptions& options, Handler handler)
    : m_impl(std::make_shared<Impl>(loop, options, std::move(handler))) {}
HttpServer::~HttpServer() = default;

Result<Success> HttpServer::Start() { return m_impl->server.Listen(m_impl->listen); }
IpEndpoint HttpServer::LocalEndpoint() const { return m_impl->server.LocalEndpoint(); }
void HttpServer::StopAccepting() { m_impl->server.StopAccepting(); }
void HttpServer::AbortConnections() { m_impl->server.AbortConnections(); }
std::size_t HttpServer::OpenConnections() const noexcept {
  return m_impl->server.OpenConnections();
}
std::size_t HttpServer::QueuedBytes() const { return m_impl->server.QueuedBytes(); }
std::size_t HttpServer::InProgress() const noexcept { return m_impl->server.InProgress(); }
const ConnectionServer& HttpServer::Connections() const noexcept { return m_impl->server; }

}  // namespace qh::http
