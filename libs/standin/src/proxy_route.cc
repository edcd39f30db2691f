#include "proxy_route.h"

#include <uv.h>

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

#include "proxy_stream.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {
namespace {

using std::chrono::milliseconds;

constexpr int kListenBacklog = 512;
/** Interval at which delayed and rate-limited data is forwarded. */
constexpr milliseconds kForwardInterval{5};

/** Received data and the time at which to forward it. */
struct Chunk {
  TimePoint due;
  std::string data;
};

/** A connection from a caller and the matching connection to the upstream address. */
struct ConnectionPair {
  std::unique_ptr<ProxyStream> caller;
  std::unique_ptr<ProxyStream> upstream;
  std::deque<Chunk> to_upstream;
  std::deque<Chunk> to_caller;
  std::int64_t response_bytes = 0;
  bool silenced = false;
  /** One side has closed; the pair is closed once all pending data has been forwarded. */
  bool closing = false;
};

}  // namespace

struct ProxyRoute::Impl {
  net::EventLoop& loop;
  FaultProxyRoute route;
  IpEndpoint local;
  RouteFaults faults;
  /** Freed by libuv's close callback. */
  uv_tcp_t* listener = nullptr;
  std::set<std::shared_ptr<ConnectionPair>> connections;
  net::Timer forward_timer;
  bool timer_active = false;

  Impl(net::EventLoop& event_loop, FaultProxyRoute proxy_route)
      : loop(event_loop),
        route(std::move(proxy_route)),
        local(route.listen),
        forward_timer(event_loop, [this] { ForwardAll(); }) {}

  void OnConnection() {
    const auto connection = std::make_shared<ConnectionPair>();
    const std::weak_ptr<ConnectionPair> weak = connection;
    connection->caller = std::make_unique<ProxyStream>(
        loop, ProxyStreamEvents{
                  [this, weak](std::string data) { OnRequestData(weak.lock(), std::move(data)); },
                  [this, weak] { OnEnd(weak.lock()); }});
    connection->upstream = std::make_unique<ProxyStream>(
        loop, ProxyStreamEvents{
                  [this, weak](std::string data) { OnResponseData(weak.lock(), std::move(data)); },
                  [this, weak] { OnEnd(weak.lock()); }});
    if (connection->caller->Accept(reinterpret_cast<uv_stream_t*>(listener))) {
      connections.insert(connection);
      connection->upstream->Connect(route.upstream);
    }
  }

  void OnRequestData(const std::shared_ptr<ConnectionPair>& connection, std::string data) {
    if (connection != nullptr && !connection->silenced) {
      connection->to_upstream.push_back({DueTime(), std::move(data)});
      Forward(connection);
    }
  }

  void OnResponseData(const std::shared_ptr<ConnectionPair>& connection, std::string data) {
    if (connection == nullptr || connection->silenced) {
      return;
    }
    if (faults.lose_answers != 0) {
      faults.lose_answers -= faults.lose_answers > 0 ? 1 : 0;
      connections.erase(connection);
      return;
    }
    const std::int64_t allowed = faults.cut_answers_after - connection->response_bytes;
    connection->response_bytes += static_cast<std::int64_t>(data.size());
    if (faults.cut_answers_after > 0 && allowed < static_cast<std::int64_t>(data.size())) {
      data.resize(static_cast<std::size_t>(std::max<std::int64_t>(allowed, 0)));
      connection->closing = true;
    }
    connection->to_caller.push_back({DueTime(), std::move(data)});
    Forward(connection);
  }

  void OnEnd(const std::shared_ptr<ConnectionPair>& connection) {
    // A silenced connection stays open even if the other side closes.
    if (connection != nullptr && !connection->silenced) {
      connection->closing = true;
      Forward(connection);
    }
  }

  TimePoint DueTime() const { return loop.Now() + milliseconds(faults.delay_ms); }

  /** Bytes that may be forwarded in one direction per interval; -1 for no limit. */
  std::int64_t BytesPerInterval() const {
    constexpr std::int64_t kIntervalsPerSecond = 1000 / kForwardInterval.count();
    return faults.bytes_per_second <= 0
               ? -1
               : std::max<std::int64_t>(1, faults.bytes_per_second / kIntervalsPerSecond);
  }

  /** Forwards all due data immediately if the rate is not limited; the timer forwards the rest. */
  void Forward(const std::shared_ptr<ConnectionPair>& connection) {
    if (BytesPerInterval() < 0) {
      ForwardDue(connection, -1);
    }
    UpdateTimer();
  }

  void ForwardAll() {
    const std::set<std::shared_ptr<ConnectionPair>> all = connections;
    for (const std::shared_ptr<ConnectionPair>& connection : all) {
      ForwardDue(connection, BytesPerInterval());
    }
    UpdateTimer();
  }

  void ForwardDue(const std::shared_ptr<ConnectionPair>& connection, std::int64_t budget) {
    ForwardChunks(connection->to_upstream, *connection->upstream, budget);
    ForwardChunks(connection->to_caller, *connection->caller, budget);
    if (connection->closing && connection->to_upstream.empty() && connection->to_caller.empty()) {
      connections.erase(connection);
    }
  }

  void ForwardChunks(std::deque<Chunk>& chunks, ProxyStream& to, std::int64_t budget) const {
    while (!chunks.empty() && chunks.front().due <= loop.Now() && budget != 0) {
      Chunk& chunk = chunks.front();
      if (budget < 0 || chunk.data.size() <= static_cast<std::size_t>(budget)) {
        budget -= budget < 0 ? 0 : static_cast<std::int64_t>(chunk.data.size());
        to.Write(std::move(chunk.data));
        chunks.pop_front();
      } else {
        to.Write(chunk.data.substr(0, static_cast<std::size_t>(budget)));
        chunk.data.erase(0, static_cast<std::size_t>(budget));
        return;
      }
    }
  }

  void UpdateTimer() {
    const bool has_chunks =
        std::any_of(connections.begin(), connections.end(), [](const auto& connection) {
          return !connection->to_upstream.empty() || !connection->to_caller.empty();
        });
    if (has_chunks && !timer_active) {
      forward_timer.StartRepeating(kForwardInterval);
    } else if (!has_chunks) {
      forward_timer.Stop();
    }
    timer_active = has_chunks;
  }

  void SilenceConnections() {
    for (const std::shared_ptr<ConnectionPair>& connection : connections) {
      connection->silenced = true;
      connection->to_upstream.clear();
      connection->to_caller.clear();
    }
  }

  void CloseListener() {
    if (listener != nullptr) {
      uv_close(reinterpret_cast<uv_handle_t*>(listener),
               [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
      listener = nullptr;
    }
  }
};

ProxyRoute::ProxyRoute(net::EventLoop& loop, const FaultProxyRoute& route)
    : m_impl(std::make_unique<Impl>(loop, route)) {}

ProxyRoute::~ProxyRoute() { m_impl->CloseListener(); }

Result<Success> ProxyRoute::Listen() {
  m_impl->listener = new uv_tcp_t{};
  uv_tcp_init(m_impl->loop.Handle(), m_impl->listener);
  m_impl->listener->data = m_impl.get();
  const sockaddr_in address = ToSockaddr(m_impl->local);
  int status = uv_tcp_bind(m_impl->listener, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(m_impl->listener), kListenBacklog,
                       [](uv_stream_t* stream, int connection_status) {
                         if (connection_status == 0) {
                           static_cast<Impl*>(stream->data)->OnConnection();
                         }
                       });
  }
  if (status != 0) {
    m_impl->CloseListener();
    return Error{ErrorCode::kUnavailable, "listen", ToString(m_impl->local), uv_strerror(status)};
  }
  sockaddr_in local{};
  int size = sizeof(local);
  uv_tcp_getsockname(m_impl->listener, reinterpret_cast<sockaddr*>(&local), &size);
  m_impl->local = FromSockaddr(local);
  return Success{};
}

void ProxyRoute::ApplyFaults(const nlohmann::json& changes) {
  RouteFaults& faults = m_impl->faults;
  ReadMember(changes, "delay_ms", faults.delay_ms);
  ReadMember(changes, "bytes_per_second", faults.bytes_per_second);
  ReadMember(changes, "refuse", faults.refuse);
  ReadMember(changes, "lose_answers", faults.lose_answers);
  ReadMember(changes, "cut_answers_after", faults.cut_answers_after);
  if (changes.value("silence_open", false)) {
    m_impl->SilenceConnections();
  }
  if (changes.value("cut_open", false)) {
    m_impl->connections.clear();
  }
  if (faults.refuse) {
    m_impl->CloseListener();
  } else if (m_impl->listener == nullptr) {
    const Result<Success> result = Listen();
    if (!IsOk(result)) {
      logging::LogError("proxy", ErrorOf(result));
    }
  }
  logging::LogChange("proxy", "switch faults",
                     {{"route", m_impl->route.name}, {"faults", changes.dump()}});
}

const std::string& ProxyRoute::Name() const noexcept { return m_impl->route.name; }

IpEndpoint ProxyRoute::LocalEndpoint() const { return m_impl->local; }

std::size_t ProxyRoute::OpenConnections() const noexcept { return m_impl->connections.size(); }

}  // namespace qh::standin
