#include "quetzalhinge/gateway/relayed_store.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "peer_check.h"
#include "peer_request_handler.h"
#include "peer_rows_client.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/store/store_version.h"
#include "read_pace.h"
#include "relay_log.h"
#include "relay_state.h"
#include "store_monitor.h"
#include "table_updates.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/**
 * Maximum number of peers tried for one read before it fails. Somewhat more than the maximum number
 * of readers during an outage.
 */
constexpr int kMaxPeersTried = 10;

const Error kNoReader{ErrorCode::kUnavailable, "read rows", "",
                      "no VM of the zone can read the store"};
const Error kKnownOutage{ErrorCode::kUnavailable, "read rows", "",
                         "store outage detected by a read of another table"};
/** Makes the caller read the whole table. */
const Error kManyLargeChanges{ErrorCode::kConflict, "read rows", "",
                              "many versions of a large row may have to be read"};

}  // namespace

struct RelayedStore::Impl : public std::enable_shared_from_this<RelayedStore::Impl> {
  using PeerCheckCallback = ConfirmedTableStore::PeerCheckCallback;

  /** State of the reads of one table. */
  struct TableRead {
    explicit TableRead(milliseconds apply_within) : pace(apply_within) {}

    /** Source of the last read: the name of a VM, "store" or "nobody". */
    std::string source;
    /** Number of the current read; results of earlier reads, which were abandoned, are ignored. */
    std::uint64_t sequence = 0;
    ReadPace pace;
    std::unique_ptr<net::Timer> pause_timer;
    Callback<store::TableRows> pending_callback;
  };

  net::EventLoop& loop;
  metrics::MetricsRegistry& metrics;
  store::TableStore& direct_store;
  std::string own_vm;
  milliseconds apply_within;
  RelaySelector selector;
  metrics::Counter& store_reads;
  metrics::Counter& store_checks;
  metrics::Counter& peer_reads;
  RelayState state;
  RelayLog log{loop, state};
  PeerRequestHandler peer_request_handler{loop, state};
  PeerRowsClient peer_rows;
  PeerCheck peer_check;
  std::map<std::string, TableRead> table_reads;
  StoreMonitor monitor;
  TableUpdates updates;

  Impl(net::EventLoop& event_loop, metrics::MetricsRegistry& registry, store::TableStore& store,
       const std::string& vm, milliseconds max_delay)
      : loop(event_loop),
        metrics(registry),
        direct_store(store),
        own_vm(vm),
        apply_within(max_delay),
        selector(vm),
        store_reads(metrics.CounterOf("qh_store_reads_total", "source=\"store\"")),
        store_checks(metrics.CounterOf("qh_store_reads_total", "source=\"store check\"")),
        peer_reads(metrics.CounterOf("qh_store_reads_total", "source=\"peer\"")),
        peer_rows(loop, apply_within),
        peer_check(loop, metrics, peer_rows, log),
        monitor(loop, state, apply_within),
        updates(loop, state, apply_within, monitor, peer_request_handler, log) {}

  TableRead& ReadOf(const std::string& table) {
    return table_reads.try_emplace(table, apply_within).first->second;
  }

  /** Reads the whole table if `after` is not set, otherwise waits for its changes. */
  void Read(const std::string& table, std::optional<std::uint64_t> after,
            Callback<store::TableRows> callback) {
    TableRead& current = ReadOf(table);
    ++current.sequence;
    current.pending_callback = std::move(callback);
    ReadFromNextSource(table, after, current.sequence, 0);
  }

  /** @param peers_tried peers tried for this read; from the maximum on, the store is read */
  void ReadFromNextSource(const std::string& table, std::optional<std::uint64_t> after,
                          std::uint64_t sequence, int peers_tried) {
    const RelayChoice choice = selector.Choose(loop.Now());
    UpdateSource(table, choice);
    switch (choice.source) {
      case RelayChoice::Source::kStore:
        ReadFromStore(table, after, sequence, peers_tried);
        return;
      case RelayChoice::Source::kPeer:
        if (peers_tried < kMaxPeersTried) {
          ReadFromPeer(choice.peer, table, after, sequence, peers_tried);
        } else {
          ReadFromStore(table, after, sequence, peers_tried);
        }
        return;
      case RelayChoice::Source::kNone:
        PostFailure(table, sequence, kNoReader);
        return;
    }
  }

  /** Posts the error, because the callback must not run within the call. */
  void PostFailure(const std::string& table, std::uint64_t sequence, const Error& error) {
    loop.Post([weak = weak_from_this(), table, sequence, error] {
      if (const auto self = weak.lock()) {
        self->Complete(table, sequence, error);
      }
    });
  }

  void UpdateSource(const std::string& table, const RelayChoice& choice) {
    std::string source = choice.source == RelayChoice::Source::kPeer    ? choice.peer.vm
                         : choice.source == RelayChoice::Source::kStore ? "store"
                                                                        : "nobody";
    std::string& previous = ReadOf(table).source;
    if (previous != source) {
      log.SourceChanged(table, previous, source);
      previous = std::move(source);
    }
  }

  std::optional<TimePoint> ConfirmedAt(const std::string& table) const {
    const auto found = state.tables.find(table);
    return found == state.tables.end() ? std::nullopt : found->second.confirmed_at;
  }

  void ReadFromStoreLater(const std::string& table, std::optional<std::uint64_t> after,
                          std::uint64_t sequence, int peers_tried, Duration pause) {
    std::unique_ptr<net::Timer>& timer = ReadOf(table).pause_timer;
    timer = std::make_unique<net::Timer>(loop, [this, table, after, sequence, peers_tried] {
      // A check may have brought newer rows during the pause.
      const auto newest = after.has_value()
                              ? std::optional(std::max(*after, state.tables[table].rows.Version()))
                              : std::nullopt;
      ReadFromStore(table, newest, sequence, peers_tried);
    });
    timer->StartOnce(std::chrono::ceil<milliseconds>(pause));
  }

  void ReadFromStore(const std::string& table, std::optional<std::uint64_t> after,
                     std::uint64_t sequence, int peers_tried) {
    TableRead& current = ReadOf(table);
    if (sequence != current.sequence) {
      return;
    }
    if (loop.Now() < current.pace.NotBefore()) {
      ReadFromStoreLater(table, after, sequence, peers_tried,
                         current.pace.NotBefore() - loop.Now());
      return;
    }
    if (direct_store.IsReceiving(table)) {
      // Two responses on a slow link would take longer than one after the other.
      ReadFromStoreLater(table, after, sequence, peers_tried, kReceivingPause);
      return;
    }
    if (after.has_value() && updates.MustReadWhole(table)) {
      log.ChangesNotRead(table);
      PostFailure(table, sequence, kManyLargeChanges);
      return;
    }
    if (monitor.IsBlockedByOutage(table)) {
      PostFailure(table, sequence, kKnownOutage);
      return;
    }
    store_reads.Add();
    const TimePoint started_at = loop.Now();
    const TimePoint wait_end = started_at + (after.has_value() ? current.pace.Wait() : Duration{});
    auto on_result = [weak = weak_from_this(), table, after, sequence, peers_tried, started_at,
                      wait_end](const Result<store::TableRows>& result) {
      if (const auto self = weak.lock()) {
        self->ReadOf(table).pace.OnEnded(started_at, self->loop.Now());
        self->OnStoreResult(table, after, sequence, peers_tried, {started_at, wait_end}, result);
      }
    };
    RequestFromStore(table, after, current.pace.Wait(), std::move(on_result));
  }

  void RequestFromStore(const std::string& table, std::optional<std::uint64_t> after,
                        milliseconds wait, Callback<store::TableRows> callback) {
    if (after.has_value()) {
      direct_store.AwaitChanges(table, *after, wait, std::move(callback));
    } else {
      direct_store.ReadTable(table, std::move(callback));
    }
  }

  void CheckStore(const std::string& table, std::optional<std::uint64_t> after,
                  Callback<store::TableRows> callback) {
    if (after.has_value() && updates.MustReadWhole(table)) {
      loop.Post([callback = std::move(callback)] { callback(kManyLargeChanges); });
      return;
    }
    store_checks.Add();
    log.CheckStarted(table, !after.has_value());
    RequestFromStore(
        table, after, milliseconds(0),
        [weak = weak_from_this(), table, is_complete = !after.has_value(), started_at = loop.Now(),
         callback = std::move(callback)](Result<store::TableRows> result) {
          const auto self = weak.lock();
          if (self == nullptr) {
            return;
          }
          self->RecordStoreResult(table, started_at, result);
          if (IsOk(result)) {
            self->log.CheckEnded(table, kStore, started_at, ValueOf(result));
            self->updates.Apply(table, ValueOf(result), is_complete, started_at, {kStore, true});
          } else {
            self->log.CheckFailed(table, kStore, started_at, ErrorOf(result).detail);
          }
          callback(std::move(result));
        });
  }

  void OnPeerCheckResult(const std::string& table, std::uint64_t after, PeerCheckResult result,
                         const PeerCheckCallback& callback) {
    RelayedRows& relayed = result.relayed;
    const bool is_older = updates.IsOlder(table, !relayed.is_complete, relayed.rows.version);
    if (!relayed.is_complete) {
      relayed.rows.version = std::max(relayed.rows.version, after);
    }
    if (is_older || relayed.rows.version < state.tables[table].rows.Version()) {
      log.CheckFailed(table, result.peer.vm, result.requested_at, "older rows");
      return;
    }
    log.CheckEnded(table, result.peer.vm, result.requested_at, relayed.rows);
    const TimePoint sent_at = updates.SentAt(relayed, result.requested_at);
    updates.RecordOutage(relayed, sent_at);
    updates.ApplyKnown(table, relayed, sent_at - relayed.age, result.peer.vm);
    callback(relayed.rows, relayed.is_complete);
  }

  /** Records whether the store responds to this VM. */
  void RecordStoreResult(const std::string& table, TimePoint started_at,
                         const Result<store::TableRows>& result) {
    if (IsOk(result)) {
      monitor.OnResponse(table, started_at, ValueOf(result));
    }
    if (IsOk(result) || ErrorOf(result).code == ErrorCode::kConflict) {
      selector.OnSuccess(own_vm);
      monitor.OnResponding();
      return;
    }
    monitor.OnFailure(table, started_at);
    selector.OnStale(own_vm, loop.Now());
    state.tables[table].fresh_at.reset();
    peer_request_handler.OnStoreFailed(table);
  }

  void OnStoreResult(const std::string& table, std::optional<std::uint64_t> after,
                     std::uint64_t sequence, int peers_tried, const StoreRead& read,
                     const Result<store::TableRows>& result) {
    RecordStoreResult(table, read.started_at, result);
    if (!IsOk(result)) {
      log.ReadFailed(table, kStore, read.started_at, ErrorOf(result).detail);
    }
    state.tables[table].reader = {};
    if (IsOk(result)) {
      if (sequence == ReadOf(table).sequence) {
        updates.Apply(table, ValueOf(result), !after.has_value(),
                      monitor.CurrentAt(ValueOf(result), read), {kStore, false});
      }
    } else if (ErrorOf(result).code != ErrorCode::kConflict && peers_tried < kMaxPeersTried) {
      // The store may refuse this VM but serve other VMs.
      ReadFromNextSource(table, after, sequence, peers_tried + 1);
      return;
    }
    Complete(table, sequence, result);
  }

  void ReadFromPeer(const RelayPeer& peer, const std::string& table,
                    std::optional<std::uint64_t> after, std::uint64_t sequence, int peers_tried) {
    peer_reads.Add();
    peer_rows.Request(peer, table, after,
                      [weak = weak_from_this(), peer, table, after, sequence, peers_tried,
                       started_at = loop.Now()](const http::HttpCallResult& result) {
                        if (const auto self = weak.lock()) {
                          self->OnPeerResult(peer, table, after, sequence, peers_tried, started_at,
                                             result);
                        }
                      });
  }

  void OnPeerResult(const RelayPeer& peer, const std::string& table,
                    std::optional<std::uint64_t> after, std::uint64_t sequence, int peers_tried,
                    TimePoint started_at, const http::HttpCallResult& result) {
    const auto* response = std::get_if<http::HttpResponse>(&result);
    if (response == nullptr) {
      const Error& error = std::get<http::HttpCallFailure>(result).error;
      log.ReadFailed(table, peer.vm, started_at, error.step + ": " + error.detail);
      selector.OnNoResponse(peer.vm, loop.Now());
      ReadFromNextSource(table, after, sequence, peers_tried + 1);
      return;
    }
    if (response->status == kRelayHistoryGone) {
      selector.OnSuccess(peer.vm);
      Complete(
          table, sequence,
          Error{ErrorCode::kConflict, "read rows", peer.vm, "change history no longer available"});
      return;
    }
    if (response->status == kRelayTooLarge) {
      selector.OnSuccess(peer.vm);
      ReadFromStore(table, after, sequence, peers_tried);
      return;
    }
    if (response->status == kRelayUnknownPath) {
      ReadFromNamedReader(peer, std::nullopt, table, after, sequence, peers_tried);
      return;
    }
    if (response->status == kRelayNotReader) {
      ReadFromNamedReader(peer, ParseReader(response->body), table, after, sequence, peers_tried);
      return;
    }
    auto relayed = response->status == kRelayOk
                       ? DecodeRows(peer.vm, response->body)
                       : Result<RelayedRows>(Error{ErrorCode::kUnavailable, "read rows", peer.vm,
                                                   "rows of peer not fresh"});
    const bool is_older =
        IsOk(relayed) && updates.IsOlder(table, after.has_value(), ValueOf(relayed).rows.version);
    if (!IsOk(relayed) || is_older) {
      log.ReadFailed(table, peer.vm, started_at,
                     IsOk(relayed) ? "older rows" : ErrorOf(relayed).detail);
      selector.OnStale(peer.vm, loop.Now());
      ReadFromNextSource(table, after, sequence, peers_tried + 1);
      return;
    }
    selector.OnSuccess(peer.vm);
    state.tables[table].reader = peer;
    RelayedRows value = TakeValue(std::move(relayed));
    // The store's version grows with writes to any table; a peer without changes of this table may
    // be slightly behind.
    value.rows.version = std::max(value.rows.version, after.value_or(0));
    const TimePoint sent_at = updates.SentAt(value, started_at);
    updates.RecordOutage(value, sent_at);
    if (sequence == ReadOf(table).sequence) {
      updates.Apply(table, value.rows, !after.has_value(), sent_at - value.age, {peer.vm, false});
    }
    Complete(table, sequence, value.rows);
  }

  /**
   * Reads from `reader`, from which `peer` reads, or from the next source if there is none. If
   * `reader` is this VM, reads the store.
   */
  void ReadFromNamedReader(const RelayPeer& peer, const std::optional<RelayPeer>& reader,
                           const std::string& table, std::optional<std::uint64_t> after,
                           std::uint64_t sequence, int peers_tried) {
    selector.OnNotReader(peer.vm, loop.Now());
    if (reader.has_value() && reader->vm == own_vm) {
      ReadFromStore(table, after, sequence, peers_tried);
      return;
    }
    if (reader.has_value() && !selector.IsExcluded(reader->vm, loop.Now()) &&
        peers_tried < kMaxPeersTried) {
      ReadFromPeer(*reader, table, after, sequence, peers_tried + 1);
    } else {
      ReadFromNextSource(table, after, sequence, peers_tried + 1);
    }
  }

  void Complete(const std::string& table, std::uint64_t sequence, Result<store::TableRows> result) {
    TableRead& current = ReadOf(table);
    if (sequence != current.sequence || current.pending_callback == nullptr) {
      return;
    }
    const Callback<store::TableRows> callback = std::exchange(current.pending_callback, nullptr);
    callback(std::move(result));
  }
};

RelayedStore::RelayedStore(net::EventLoop& loop, metrics::MetricsRegistry& metrics,
                           store::TableStore& direct_store, const std::string& own_vm,
                           milliseconds apply_within)
    : m_impl(std::make_shared<Impl>(loop, metrics, direct_store, own_vm, apply_within)) {}
RelayedStore::~RelayedStore() = default;

void RelayedStore::OnStoreRecovered(std::function<void(Duration ago)> callback) {
  m_impl->monitor.OnStoreRecovered(std::move(callback));
}

void RelayedStore::OnEra(std::function<void(std::uint64_t era)> callback) {
  m_impl->monitor.OnEra(std::move(callback));
}

void RelayedStore::SetPeerChoice(std::function<std::vector<RelayPeer>()> choose) {
  m_impl->peer_check.SetPeerChoice(std::move(choose));
}

void RelayedStore::SetPeers(const std::vector<RelayPeer>& peers) {
  m_impl->selector.SetPeers(peers);
}

void RelayedStore::HandlePeerRequest(const std::shared_ptr<http::ServerExchange>& exchange) {
  m_impl->peer_request_handler.Handle(exchange);
}

void RelayedStore::Tick() { m_impl->peer_request_handler.Tick(); }

void RelayedStore::UpdateGauges() {
  m_impl->metrics.GaugeOf("qh_store_era").Set(static_cast<double>(m_impl->monitor.Era()));
  for (const auto& [table, table_state] : m_impl->state.tables) {
    if (table_state.confirmed_at.has_value()) {
      const std::chrono::duration<double> age = m_impl->loop.Now() - *table_state.confirmed_at;
      m_impl->metrics.GaugeOf("qh_table_unconfirmed_seconds", "table=\"" + table + "\"")
          .Set(age.count());
    }
  }
}

bool RelayedStore::WouldReadStore() const {
  return m_impl->selector.Choose(m_impl->loop.Now()).source == RelayChoice::Source::kStore;
}

bool RelayedStore::WasReadFromStore(const std::string& table) const {
  const auto found = m_impl->state.tables.find(table);
  return found != m_impl->state.tables.end() && found->second.from_store;
}

std::uint64_t RelayedStore::NewestChange(const std::string& table) const {
  const auto found = m_impl->state.tables.find(table);
  return found == m_impl->state.tables.end() ? 0 : found->second.rows.NewestChange();
}

std::string RelayedStore::SourceOf(const std::string& table) const {
  const auto found = m_impl->state.tables.find(table);
  if (found == m_impl->state.tables.end()) {
    return "";
  }
  const RowSource& source = found->second.source;
  return source.is_check ? source.name + " check" : source.name;
}

std::optional<TimePoint> RelayedStore::ConfirmedAt(const std::string& table) const {
  return m_impl->ConfirmedAt(table);
}

void RelayedStore::CheckStore(const std::string& table, std::optional<std::uint64_t> after,
                              Callback<store::TableRows> callback) {
  m_impl->CheckStore(table, after, std::move(callback));
}

void RelayedStore::CheckPeers(const std::string& table, std::uint64_t after,
                              PeerCheckCallback callback) {
  m_impl->peer_check.Start(table, after,
                           [weak = std::weak_ptr<Impl>(m_impl), table, after,
                            callback = std::move(callback)](PeerCheckResult result) {
                             if (const auto impl = weak.lock()) {
                               impl->OnPeerCheckResult(table, after, std::move(result), callback);
                             }
                           });
}

void RelayedStore::ReadTable(const std::string& table, Callback<store::TableRows> callback) {
  m_impl->Read(table, std::nullopt, std::move(callback));
}

void RelayedStore::AwaitChanges(const std::string& table, std::uint64_t after,
                                milliseconds /*wait*/, Callback<store::TableRows> callback) {
  m_impl->Read(table, after, std::move(callback));
}

bool RelayedStore::IsReceiving(const std::string& table) const {
  return m_impl->direct_store.IsReceiving(table);
}

void RelayedStore::WriteRow(const std::string& table, const std::string& key,
                            const std::string& value, Callback<Success> callback) {
  m_impl->direct_store.WriteRow(table, key, value, std::move(callback));
}

}  // namespace qh::gateway
