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
/** How often delayed and slow data is passed on. */
constexpr milliseconds kPassInterval{5};

/** Data that is passed on when its time has come. */
struct Piece {
  TimePoint due;
  std::string data;
};

/** A connection from a caller with its connection to the upstream address. */
struct Link {
  std::unique_ptr<ProxyStream> caller;
  std::unique_ptr<ProxyStream> upstream;
  std::deque<Piece> to_upstream;
  std::deque<Piece> to_caller;
  std::int64_t answer_bytes = 0;
  bool silent = false;
  /** One side has ended; the link closes when everything was passed on. */
  bool ending = false;
};

}  // namespace

struct ProxyRoute::Impl {
  net::EventLoop& loop;
  FaultProxyRoute route;
  IpEndpoint local;
  RouteFaults faults;
  /** Freed by libuv's close callback. */
  uv_tcp_t* listener = nullptr;
  std::set<std::shared_ptr<Link>> links;
  net::Timer pass_timer;
  bool timer_runs = false;

  Impl(net::EventLoop& event_loop, FaultProxyRoute proxy_route)
      : loop(event_loop),
        route(std::move(proxy_route)),
        local(route.listen),
        pass_timer(event_loop, [this] { PassAll(); }) {}

  void OnConnection() {
    const auto link = std::make_shared<Link>();
    const std::weak_ptr<Link> weak = link;
    link->caller = std::make_unique<ProxyStream>(
        loop, ProxyStreamEvents{
                  [this, weak](std::string data) { OnRequestData(weak.lock(), std::move(data)); },
                  [this, weak] { OnEnd(weak.lock()); }});
    link->upstream = std::make_unique<ProxyStream>(
        loop, ProxyStreamEvents{
                  [this, weak](std::string data) { OnAnswerData(weak.lock(), std::move(data)); },
                  [this, weak] { OnEnd(weak.lock()); }});
    if (link->caller->Accept(reinterpret_cast<uv_stream_t*>(listener))) {
      links.insert(link);
      link->upstream->Connect(route.upstream);
    }
  }

  void OnRequestData(const std::shared_ptr<Link>& link, std::string data) {
    if (link != nullptr && !link->silent) {
      link->to_upstream.push_back({DueTime(), std::move(data)});
      Pass(link);
    }
  }

  void OnAnswerData(const std::shared_ptr<Link>& link, std::string data) {
    if (link == nullptr || link->silent) {
      return;
    }
    if (faults.lose_answers != 0) {
      faults.lose_answers -= faults.lose_answers > 0 ? 1 : 0;
      links.erase(link);
      return;
    }
    const std::int64_t allowed = faults.cut_answers_after - link->answer_bytes;
    link->answer_bytes += static_cast<std::int64_t>(data.size());
    if (faults.cut_answers_after > 0 && allowed < static_cast<std::int64_t>(data.size())) {
      data.resize(static_cast<std::size_t>(std::max<std::int64_t>(allowed, 0)));
      link->ending = true;
    }
    link->to_caller.push_back({DueTime(), std::move(data)});
    Pass(link);
  }

  void OnEnd(const std::shared_ptr<Link>& link) {
    // A silent link stays open, whatever the upstream side does.
    if (link != nullptr && !link->silent) {
      link->ending = true;
      Pass(link);
    }
  }

  TimePoint DueTime() const { return loop.Now() + milliseconds(faults.delay_ms); }

  /** Bytes that one direction may pass in one interval; negative for any number. */
  std::int64_t BytesPerInterval() const {
    constexpr std::int64_t kIntervalsPerSecond = 1000 / kPassInterval.count();
    return faults.bytes_per_second <= 0
               ? -1
               : std::max<std::int64_t>(1, faults.bytes_per_second / kIntervalsPerSecond);
  }

  /** Passes at once what has no delay; the rest is left to the timer. */
  void Pass(const std::shared_ptr<Link>& link) {
    if (BytesPerInterval() < 0) {
      PassDue(link, -1);
    }
    UpdateTimer();
  }

  void PassAll() {
    const std::set<std::shared_ptr<Link>> all = links;
    for (const std::shared_ptr<Link>& link : all) {
      PassDue(link, BytesPerInterval());
    }
    UpdateTimer();
  }

  void PassDue(const std::shared_ptr<Link>& link, std::int64_t budget) {
    PassPieces(link->to_upstream, *link->upstream, budget);
    PassPieces(link->to_caller, *link->caller, budget);
    if (link->ending && link->to_upstream.empty() && link->to_caller.empty()) {
      links.erase(link);
    }
  }

  void PassPieces(std::deque<Piece>& pieces, ProxyStream& to, std::int64_t budget) const {
    while (!pieces.empty() && pieces.front().due <= loop.Now() && budget != 0) {
      Piece& piece = pieces.front();
      if (budget < 0 || piece.data.size() <= static_cast<std::size_t>(budget)) {
        budget -= budget < 0 ? 0 : static_cast<std::int64_t>(piece.data.size());
        to.Write(std::move(piece.data));
        pieces.pop_front();
      } else {
        to.Write(piece.data.substr(0, static_cast<std::size_t>(budget)));
        piece.data.erase(0, static_cast<std::size_t>(budget));
        return;
      }
    }
  }

  void UpdateTimer() {
    const bool has_pieces = std::any_of(links.begin(), links.end(), [](const auto& link) {
      return !link->to_upstream.empty() || !link->to_caller.empty();
    });
    if (has_pieces && !timer_runs) {
      pass_timer.StartRepeating(kPassInterval);
    } else if (!has_pieces) {
      pass_timer.Stop();
    }
    timer_runs = has_pieces;
  }

  void Silence() {
    for (const std::shared_ptr<Link>& link : links) {
      link->silent = true;
      link->to_upstream.clear();
      link->to_caller.clear();
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
    m_impl->Silence();
  }
  if (changes.value("cut_open", false)) {
    m_impl->links.clear();
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

std::size_t ProxyRoute::OpenConnections() const noexcept { return m_impl->links.size(); }

}  // namespace qh::standin
