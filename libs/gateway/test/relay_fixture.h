#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/gateway/relayed_store.h"
#include "quetzalhinge/http/connection_server.h"

namespace qh::gateway {

using namespace std::chrono_literals;

inline const TimePoint kStart = TimePoint(1h);

inline constexpr std::chrono::milliseconds kApplyWithin{500};

/** An in-memory store that ends waits when a row changes, and that can refuse all requests. */
class FakeStore : public store::TableStore {
 public:
  explicit FakeStore(net::EventLoop& loop) : m_loop(loop) {}

  void Put(const std::string& key, const std::string& value) {
    ++m_version;
    m_rows[key] = {key, value, m_version, false};
    RespondToWaits();
  }
  void Refuse(bool refuse) {
    m_refuse = refuse;
    if (refuse) {
      RespondToWaits();
    }
  }
  /** Ends all waits without a change. */
  void EndWaits() { RespondToWaits(); }
  int Reads() const { return m_reads; }
  void SetReceiving(bool is_receiving) { m_is_receiving = is_receiving; }
  /** The version after which changes were last requested. */
  std::uint64_t RequestedAfter() const { return m_requested_after; }

  bool IsReceiving(const std::string& /*table*/) const override { return m_is_receiving; }

  void ReadTable(const std::string& /*table*/, Callback<store::TableRows> callback) override {
    ++m_reads;
    Post(std::move(callback), 0);
  }
  void AwaitChanges(const std::string& /*table*/, std::uint64_t after,
                    std::chrono::milliseconds /*wait*/,
                    Callback<store::TableRows> callback) override {
    ++m_reads;
    m_requested_after = after;
    if (m_refuse || m_version > after) {
      Post(std::move(callback), after);
    } else {
      m_waits.emplace_back(after, std::move(callback));
    }
  }
  void WriteRow(const std::string& /*table*/, const std::string& key, const std::string& value,
                Callback<Success> callback) override {
    Put(key, value);
    m_loop.Post([callback = std::move(callback)] { callback(Success{}); });
  }

 private:
  void Post(Callback<store::TableRows> callback, std::uint64_t after) {
    m_loop.Post([this, callback = std::move(callback), after] {
      if (m_refuse) {
        callback(Error{ErrorCode::kUnavailable, "read", "fake", "refused"});
        return;
      }
      store::TableRows rows;
      rows.version = m_version;
      for (const auto& [key, row] : m_rows) {
        if (row.version > after) {
          rows.rows.push_back(row);
        }
      }
      callback(rows);
    });
  }
  void RespondToWaits() {
    for (auto& [after, callback] : std::exchange(m_waits, {})) {
      Post(std::move(callback), after);
    }
  }

  net::EventLoop& m_loop;
  std::map<std::string, store::StoredRow> m_rows;
  std::vector<std::pair<std::uint64_t, Callback<store::TableRows>>> m_waits;
  std::uint64_t m_version = 0;
  bool m_refuse = false;
  int m_reads = 0;
  bool m_is_receiving = false;
  std::uint64_t m_requested_after = 0;
};

/** One VM: its relayed store and the server for requests of its peers. */
struct RelayVm {
  metrics::MetricsRegistry metrics;
  RelayedStore store;
  http::ConnectionServer server;

  RelayVm(net::EventLoop& loop, store::TableStore& direct, const std::string& name,
          std::chrono::milliseconds apply_within = kApplyWithin)
      : store(loop, metrics, direct, name, apply_within),
        server(loop, {}, [this](auto exchange) { store.HandlePeerRequest(exchange); }) {
    REQUIRE(IsOk(server.Listen({"127.0.0.1", 0})));
  }
};

inline void RunUntil(net::EventLoop& loop, const std::vector<RelayVm*>& vms,
                     const std::function<bool()>& done) {
  const TimePoint limit = loop.Now() + 30s;
  while (!done() && loop.Now() < limit) {
    for (RelayVm* vm : vms) {
      vm->store.Tick();
    }
    loop.RunOnce(10ms);
  }
  REQUIRE(done());
}

/** Returns a name of a VM that ranks after `peer` and therefore reads from it first. */
inline std::string NameRankedAfter(const std::string& peer) {
  for (int i = 0;; ++i) {
    const std::string name = "asker-" + std::to_string(i);
    RelaySelector selector(name);
    selector.SetPeers({{peer, {"127.0.0.1", 1}}});
    if (selector.Choose(kStart).source == RelayChoice::Source::kPeer) {
      return name;
    }
  }
}

/** Reads the table, or waits for its changes if `after` is set, and returns the result. */
inline Result<store::TableRows> Read(net::EventLoop& loop, const std::vector<RelayVm*>& vms,
                                     RelayVm& vm, std::optional<std::uint64_t> after) {
  std::optional<Result<store::TableRows>> result;
  const auto on_result = [&](Result<store::TableRows> value) { result = std::move(value); };
  if (after.has_value()) {
    vm.store.AwaitChanges("workers", *after, 1s, on_result);
  } else {
    vm.store.ReadTable("workers", on_result);
  }
  RunUntil(loop, vms, [&] { return result.has_value(); });
  return *result;
}

}  // namespace qh::gateway
