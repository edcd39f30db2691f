#include "quetzalhinge/http/http_server.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <unordered_map>
#include <utility>

#include "framing_check.h"

namespace qh::http {
namespace {

constexpr int kListenBacklog = 1024;
constexpr std::uint16_t kAnyPort = 65535;

std::string ToText(const h2o_iovec_t& text) { return std::string(text.base, text.len); }

HttpRequest CopyRequest(const h2o_req_t& request) {
  HttpRequest copy;
  copy.method = ToText(request.method);
  copy.path = ToText(request.path);
  copy.body = request.entity.base != nullptr ? ToText(request.entity) : "";
  copy.headers.reserve(request.headers.size + 1);
  copy.headers.push_back({"host", ToText(request.authority)});
  for (std::size_t i = 0; i < request.headers.size; ++i) {
    const h2o_header_t& header = request.headers.entries[i];
    copy.headers.push_back({ToText(*header.name), ToText(header.value)});
  }
  return copy;
}

}  // namespace

struct HttpServer::Impl {
  /** A handler in h2o's list of handlers, with the way back to the server. */
  struct RequestHandler {
    h2o_handler_t super;
    Impl* server;
  };

  /** A connection, linked to the server until either is gone. */
  struct Connection {
    uv_tcp_t handle;
    std::shared_ptr<Impl> server;
    const h2o_socket_t* socket = nullptr;
  };

  /** Holds timers of the loop, so it must live as long as the loop. */
  struct H2oState {
    h2o_globalconf_t config{};
    h2o_context_t context{};
  };

  class Exchange;

  net::EventLoop& loop;
  HttpServerOptions options;
  Handler handler;
  std::shared_ptr<H2oState> h2o = std::make_shared<H2oState>();
  h2o_accept_ctx_t accept_context{};
  /** Freed by libuv's close callback. */
  uv_tcp_t* listener = nullptr;
  IpEndpoint local;
  std::size_t open_connections = 0;
  /** Open connections by their h2o socket, to find the descriptor of a request's connection. */
  std::unordered_map<const h2o_socket_t*, Connection*> connections;
  std::size_t in_progress = 0;
  bool stopped = false;

  Impl(net::EventLoop& event_loop, HttpServerOptions server_options, Handler request_handler)
      : loop(event_loop), options(std::move(server_options)), handler(std::move(request_handler)) {
    h2o_globalconf_t& config = h2o->config;
    h2o_config_init(&config);
    config.server_name = h2o_iovec_init(H2O_STRLIT("quetzalhinge"));
    config.max_request_entity_size = options.max_body_bytes;
    config.http1.req_timeout = static_cast<std::uint64_t>(options.request_timeout.count());
    config.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t* host =
        h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), kAnyPort);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* request_entry =
        reinterpret_cast<RequestHandler*>(h2o_create_handler(path, sizeof(RequestHandler)));
    request_entry->super.on_req = OnRequest;
    request_entry->server = this;
    h2o_context_init(&h2o->context, loop.Handle(), &config);
    accept_context.ctx = &h2o->context;
    accept_context.hosts = config.hosts;
  }
  /** h2o_context_dispose() would run the loop from within a callback. */
  ~Impl() { loop.KeepUntilClosed(std::move(h2o)); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  static int OnRequest(h2o_handler_t* self, h2o_req_t* request);

  static void OnConnection(uv_stream_t* listener, int status) {
    auto* server = static_cast<Impl*>(listener->data);
    if (status != 0) {
      return;
    }
    auto* connection = new Connection{};
    uv_tcp_init(listener->loop, &connection->handle);
    connection->server = server->self.lock();
    ++server->open_connections;
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection->handle);
    if (uv_accept(listener, stream) != 0) {
      uv_close(reinterpret_cast<uv_handle_t*>(&connection->handle), OnConnectionClosed);
      return;
    }
    uv_tcp_nodelay(&connection->handle, 1);
    h2o_socket_t* socket = h2o_uv_socket_create(stream, OnConnectionClosed);
    connection->socket = socket;
    server->connections[socket] = connection;
    h2o_accept(&server->accept_context, socket);
  }

  static void OnConnectionClosed(uv_handle_t* handle) {
    auto* connection = reinterpret_cast<Connection*>(handle);
    Impl& server = *connection->server;
    --server.open_connections;
    // h2o frees its socket before this callback, so a newer connection may have the same address.
    const auto entry = server.connections.find(connection->socket);
    if (entry != server.connections.end() && entry->second == connection) {
      server.connections.erase(entry);
    }
    delete connection;
  }

  static int DescriptorOf(const Connection& connection) {
    uv_os_fd_t descriptor = -1;
    const auto* handle = reinterpret_cast<const uv_handle_t*>(&connection.handle);
    return uv_is_closing(handle) == 0 && uv_fileno(handle, &descriptor) == 0 ? descriptor : -1;
  }

  /** Connections and exchanges share this object, because libuv closes sockets later. */
  std::weak_ptr<Impl> self;
};

/** The exchange of one h2o request. h2o may dispose the request first, when the peer leaves. */
class HttpServer::Impl::Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Impl> server, h2o_req_t* request, bool ambiguous)
      : m_server(std::move(server)),
        m_h2o_request(request),
        m_request(CopyRequest(*request)),
        m_ambiguous(ambiguous) {
    ++m_server->in_progress;
    // The pool of the request frees this link when h2o disposes the request.
    m_link =
        static_cast<Link*>(h2o_mem_alloc_shared(&request->pool, sizeof(Link), OnRequestDisposed));
    m_link->exchange = this;
  }

  ~Exchange() override {
    if (!m_answered) {
      Respond(HttpResponse{500, {}, "", true});
    }
    if (m_link != nullptr) {
      m_link->exchange = nullptr;
    }
  }

  const HttpRequest& Request() const noexcept override { return m_request; }
  bool HasAmbiguousFraming() const noexcept override { return m_ambiguous; }
  std::string PeerIp() const override {
    sockaddr_storage address{};
    if (m_h2o_request == nullptr ||
        m_h2o_request->conn->callbacks->get_peername(m_h2o_request->conn,
                                                     reinterpret_cast<sockaddr*>(&address)) == 0) {
      return "";
    }
    return FromSockaddr(reinterpret_cast<const sockaddr_in&>(address)).ip;
  }
  bool IsConnected() const noexcept override { return m_h2o_request != nullptr; }

  void Respond(HttpResponse response) override {
    if (m_answered) {
      return;
    }
    m_answered = true;
    --m_server->in_progress;
    if (m_h2o_request == nullptr) {
      return;
    }
    h2o_req_t* request = m_h2o_request;
    request->res.status = response.status;
    request->res.reason = ReasonPhrase(response.status);
    request->res.content_length = response.body.size();
    if (response.close_connection) {
      request->http1_is_persistent = 0;
    }
    for (const HttpHeader& header : WithoutHopByHop(response.headers)) {
      const h2o_iovec_t name = h2o_strdup(&request->pool, header.name.data(), header.name.size());
      const h2o_iovec_t value =
          h2o_strdup(&request->pool, header.value.data(), header.value.size());
      h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 1, nullptr,
                            value.base, value.len);
    }
    // Sending may dispose the request at once, and with it the link to this object.
    h2o_send_inline(request, response.body.data(), response.body.size());
  }

  bool HasPeerClosed() const noexcept override {
    if (m_h2o_request == nullptr) {
      return true;
    }
    char byte = 0;
    const ssize_t size = recv(Descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Abort(std::string_view raw_bytes) override {
    if (m_answered) {
      return;
    }
    if (m_h2o_request != nullptr) {
      const int descriptor = Descriptor();
      if (!raw_bytes.empty()) {
        (void)send(descriptor, raw_bytes.data(), raw_bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      }
      shutdown(descriptor, SHUT_RDWR);
    }
    // The write fails on the closed socket, and h2o then frees the connection.
    Respond({500, {}, "", true});
  }

 private:
  int Descriptor() const noexcept {
    const h2o_socket_t* socket = m_h2o_request->conn->callbacks->get_socket(m_h2o_request->conn);
    const auto entry = m_server->connections.find(socket);
    return entry != m_server->connections.end() ? DescriptorOf(*entry->second) : -1;
  }

  /** Lives in the pool of the h2o request. */
  struct Link {
    Exchange* exchange;
  };

  static void OnRequestDisposed(void* data) {
    Exchange* exchange = static_cast<Link*>(data)->exchange;
    if (exchange != nullptr) {
      exchange->m_h2o_request = nullptr;
      exchange->m_link = nullptr;
    }
  }

  std::shared_ptr<Impl> m_server;
  h2o_req_t* m_h2o_request;
  Link* m_link = nullptr;
  HttpRequest m_request;
  bool m_ambiguous;
  bool m_answered = false;
};

int HttpServer::Impl::OnRequest(h2o_handler_t* self, h2o_req_t* request) {
  auto* server = reinterpret_cast<RequestHandler*>(self)->server;
  if (server->stopped) {
    return -1;
  }
  // The head of the current request stands at the start of the input buffer until it is answered.
  const h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
  const std::string_view raw(socket->input->bytes, socket->input->size);
  const bool ambiguous = CheckFraming(raw.substr(0, raw.find("\r\n\r\n"))) == Framing::kAmbiguous;
  server->handler(std::make_shared<Exchange>(server->self.lock(), request, ambiguous));
  return 0;
}

HttpServer::HttpServer(net::EventLoop& loop, const HttpServerOptions& options, Handler handler)
    : m_impl(std::make_shared<Impl>(loop, options, std::move(handler))) {
  m_impl->self = m_impl;
}

HttpServer::~HttpServer() {
  m_impl->stopped = true;
  m_impl->handler = nullptr;
  StopAccepting();
}

Result<Success> HttpServer::Start() {
  auto* listener = new uv_tcp_t{};
  uv_tcp_init(m_impl->loop.Handle(), listener);
  listener->data = m_impl.get();
  m_impl->listener = listener;
  const sockaddr_in address = ToSockaddr(m_impl->options.listen);
  int status = uv_tcp_bind(listener, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status =
        uv_listen(reinterpret_cast<uv_stream_t*>(listener), kListenBacklog, Impl::OnConnection);
  }
  if (status != 0) {
    StopAccepting();
    return Error{ErrorCode::kUnavailable, "listen", ToString(m_impl->options.listen),
                 uv_strerror(status)};
  }
  sockaddr_in local{};
  int size = sizeof(local);
  uv_tcp_getsockname(listener, reinterpret_cast<sockaddr*>(&local), &size);
  m_impl->local = FromSockaddr(local);
  return Success{};
}

IpEndpoint HttpServer::LocalEndpoint() const { return m_impl->local; }

void HttpServer::StopAccepting() {
  if (m_impl->listener != nullptr) {
    uv_close(reinterpret_cast<uv_handle_t*>(m_impl->listener),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    m_impl->listener = nullptr;
  }
}

void HttpServer::AbortConnections() {
  for (const auto& [socket, connection] : m_impl->connections) {
    shutdown(Impl::DescriptorOf(*connection), SHUT_RDWR);
  }
}

std::size_t HttpServer::OpenConnections() const noexcept { return m_impl->open_connections; }

std::size_t HttpServer::InProgress() const noexcept { return m_impl->in_progress; }

}  // namespace qh::http
