#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/gateway/relayed_store.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/net/timer.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

constexpr const char* kTable = "configuration";
constexpr std::chrono::milliseconds kApplyWithin{2000};
/** Time for which a response is under way. */
constexpr std::chrono::milliseconds kDelay{400};

/** How much older than it is a copy may look on a busy machine; it only leads to an early check. */
constexpr std::chrono::milliseconds kTolerance{1000};

/** How long ago the peer saw the end of an outage of the store when it sent its rows. */
constexpr std::chrono::milliseconds kSinceOutage{100};

/** A store with a steady clock whose responses to waits for changes arrive late. */
class DistantStore : public store::TableStore {
 public:
  explicit DistantStore(net::EventLoop& loop) : m_loop(loop) {}

  void Change() {
    ++m_version;
    made_at = m_loop.Now();
    const store::TableRows rows{
        {{"current", "value", m_version, false}}, m_version, Reading(made_at)};
    m_delay = std::make_unique<net::Timer>(m_loop, [this, rows] {
      if (m_wait != nullptr) {
        std::exchange(m_wait, nullptr)(rows);
      }
    });
    m_delay->StartOnce(kDelay);
  }

  void ReadTable(const std::string& /*table*/, Callback<store::TableRows> callback) override {
    const store::TableRows rows{{}, m_version, Reading(m_loop.Now())};
    m_loop.Post([callback = std::move(callback), rows] { callback(rows); });
  }
  void AwaitChanges(const std::string& /*table*/, std::uint64_t /*after*/,
                    std::chrono::milliseconds /*wait*/,
                    Callback<store::TableRows> callback) override {
    m_wait = std::move(callback);
  }
  void WriteRow(const std::string& /*table*/, const std::string& /*key*/,
                const std::string& /*value*/, Callback<Success> /*callback*/) override {}

  /** When the store made its last response with a change. */
  TimePoint made_at{};

 private:
  std::chrono::milliseconds Reading(TimePoint now) const {
    return std::chrono::floor<std::chrono::milliseconds>(now - m_started_at);
  }

  net::EventLoop& m_loop;
  TimePoint m_started_at = m_loop.Now() - 1h;
  std::uint64_t m_version = 1;
  Callback<store::TableRows> m_wait;
  std::unique_ptr<net::Timer> m_delay;
};

/** A VM that relays a change; its response is under way for a while. */
class DistantPeer {
 public:
  explicit DistantPeer(net::EventLoop& loop)
      : m_loop(loop), m_server(loop, {}, [this](auto exchange) { Handle(std::move(exchange)); }) {
    REQUIRE(IsOk(m_server.Listen({"127.0.0.1", 0})));
  }
  IpEndpoint Endpoint() const { return m_server.LocalEndpoint(); }

  /** When the response with the change was made. */
  TimePoint made_at{};

 private:
  void Handle(std::shared_ptr<http::ServerExchange> exchange) {
    made_at = m_loop.Now();
    m_exchange = std::move(exchange);
    m_delay.StartOnce(kDelay);
  }
  void Respond() {
    const store::TableRows rows{{{"current", "value", 2, false}}, 2};
    m_exchange->Respond({200, {}, EncodeRows({rows, 0ms, 0ms, kSinceOutage}), false});
    m_exchange.reset();
  }

  net::EventLoop& m_loop;
  http::ConnectionServer m_server;
  std::shared_ptr<http::ServerExchange> m_exchange;
  net::Timer m_delay{m_loop, [this] { Respond(); }};
};

/** Returns a name of a VM that reads from `peer` as long as `peer` responds. */
std::string NameRankedAfter(const std::string& peer) {
  for (int i = 0;; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    RelaySelector selector(name);
    selector.SetPeers({{peer, {"127.0.0.1", 1}}});
    if (selector.Choose(TimePoint(1h)).source == RelayChoice::Source::kPeer) {
      return name;
    }
  }
}

/** Runs the loop until `is_done`, or fails after a generous time. */
void RunUntil(net::EventLoop& loop, const std::function<bool()>& is_done) {
  const TimePoint end = loop.Now() + 30s;
  while (!is_done() && loop.Now() < end) {
    loop.RunOnce(10ms);
  }
  REQUIRE(is_done());
}

}  // namespace

// Guards against a configuration that is applied late: a copy that looked fresher than it was is
// not checked in time, neither here nor at the VMs that read from this one.
SCENARIO("A change that the store sent some time ago does not make the copy current now") {
  net::EventLoop loop;
  metrics::MetricsRegistry metrics;
  DistantStore store(loop);
  RelayedStore relayed_store(loop, metrics, store, "vm", kApplyWithin);
  bool is_read = false;
  relayed_store.ReadTable(kTable, [&](const auto& /*rows*/) { is_read = true; });
  RunUntil(loop, [&] { return is_read; });

  GIVEN("a wait for changes whose response is under way for a while") {
    bool has_ended = false;
    relayed_store.AwaitChanges(kTable, 1, 1s, [&](const auto& /*rows*/) { has_ended = true; });
    const TimePoint change_at = loop.Now() + kTolerance + 1s;
    RunUntil(loop, [&] { return loop.Now() >= change_at; });
    store.Change();
    RunUntil(loop, [&] { return has_ended; });
    THEN("the copy is confirmed as of the time at which the store made it") {
      CHECK(*relayed_store.ConfirmedAt(kTable) <= store.made_at);
      CHECK(*relayed_store.ConfirmedAt(kTable) > store.made_at - kTolerance);
    }
  }
}

// Guards against a configuration that is applied late at the VMs that read from a peer with a slow
// link, whose rows look fresher than they are.
SCENARIO("Rows that a peer sent some time ago do not make the copy current now") {
  net::EventLoop loop;
  metrics::MetricsRegistry metrics;
  DistantStore store(loop);
  DistantPeer peer(loop);
  RelayedStore relayed_store(loop, metrics, store, NameRankedAfter("peer"), kApplyWithin);
  relayed_store.SetPeers({{"peer", peer.Endpoint()}});
  std::optional<TimePoint> recovered_at;
  relayed_store.OnStoreRecovered([&](Duration ago) { recovered_at = loop.Now() - ago; });

  GIVEN("a wait at the peer whose response is under way for a while") {
    bool has_ended = false;
    relayed_store.AwaitChanges(kTable, 1, 1s, [&](const auto& /*rows*/) { has_ended = true; });
    RunUntil(loop, [&] { return has_ended; });
    THEN("the copy is confirmed as of the time at which the peer sent its rows") {
      CHECK(*relayed_store.ConfirmedAt(kTable) <= peer.made_at);
      CHECK(*relayed_store.ConfirmedAt(kTable) > peer.made_at - kTolerance);
    }
    // Guards against requests to a worker whose removal is deferred for too long after an outage.
    THEN("the outage ended as long before that time as the peer says") {
      REQUIRE(recovered_at.has_value());
      CHECK(*recovered_at <= peer.made_at - kSinceOutage);
    }
  }
}

}  // namespace qh::gateway
