#include "quetzalhinge/gateway/relayed_store.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "peer_answers.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"
#include "relay_state.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/**
 * How long a reader waits at the store. An outage may swallow a waiting call; the next one then
 * starts soon enough after the store's return to keep the bound on new configurations.
 */
constexpr milliseconds kStoreWait{1500};

/**
 * Pause between two waits at the store, so that changes that come together cost one call. Doubled
 * with each wait that ends early, up to the longest, which delays news by that much at most.
 */
constexpr milliseconds kFirstGap{100};
constexpr milliseconds kLongestGap{600};

/** How long a peer's answer may take beyond the wait. */
constexpr milliseconds kPeerAnswerTime{400};

/** Peers that are asked for one reading, before it fails; as many as read in an outage, and some.
 */
constexpr int kMaxPeersAsked = 10;

/** A store that did not answer for less than this has let no entry lapse. */
constexpr milliseconds kShortOutage{300};

/** A failure longer ago than this says nothing about the store now. */
constexpr milliseconds kFailureMemory{1500};

/** Reads "<vm> <ip>:<port>"; nothing on another form. */
std::optional<RelayPeer> ParsePeer(const std::string& text) {
  const std::size_t blank = text.find(' ');
  if (blank == std::string::npos) {
    return std::nullopt;
  }
  const auto endpoint = ParseIpEndpoint(text.substr(blank + 1));
  return endpoint.has_value() ? std::optional(RelayPeer{text.substr(0, blank), *endpoint})
                              : std::nullopt;
}

}  // namespace

struct RelayedStore::Impl : public std::enable_shared_from_this<RelayedStore::Impl> {
  /** The reading of one table. */
  struct Reading {
    /** Where it was asked for last: a VM, "store" or "nobody". */
    std::string source;
    std::shared_ptr<http::ClientConnection> connection;
    std::string connected_vm;
    /** Counts readings; answers to given-up ones are ignored. */
    std::uint64_t number = 0;
    /** Pause before the store is asked again, and when it may be. */
    milliseconds gap = kFirstGap;
    TimePoint store_not_before{};
    std::unique_ptr<net::Timer> gap_timer;
    Callback<store::TableRows> waiting;
  };

  net::EventLoop& loop;
  store::TableStore& direct;
  std::string own_vm;
  RelaySelector selector;
  metrics::Counter& store_reads;
  metrics::Counter& peer_reads;
  RelayState state;
  PeerAnswers answers{loop, state};
  std::map<std::string, Reading> readings;
  TimePoint store_failed_at{};
  /** The table whose reading failed first; the others wait until it succeeds. */
  std::string scout;
  std::function<void(Duration)> on_store_returned;

  Impl(net::EventLoop& event_loop, metrics::MetricsRegistry& metrics, store::TableStore& store,
       const std::string& vm)
      : loop(event_loop),
        direct(store),
        own_vm(vm),
        selector(vm),
        store_reads(metrics.CounterOf("qh_store_reads_total", "source=\"store\"")),
        peer_reads(metrics.CounterOf("qh_store_reads_total", "source=\"peer\"")) {}

  /** Starts a reading: the whole table if `after` is not set, otherwise its changes. */
  void Read(const std::string& table, std::optional<std::uint64_t> after,
            Callback<store::TableRows> callback, bool from_store) {
    Reading& current = readings[table];
    ++current.number;
    current.waiting = std::move(callback);
    Ask(table, after, current.number, from_store ? kMaxPeersAsked + 1 : 0);
  }

  /** `asked`: peers asked already; above the limit, the store itself is asked. */
  void Ask(const std::string& table, std::optional<std::uint64_t> after, std::uint64_t reading,
           int asked) {
    const RelayChoice choice = asked > kMaxPeersAsked ? RelayChoice{} : selector.Choose(loop.Now());
    NoteSource(table, choice);
    switch (choice.source) {
      case RelayChoice::Source::kStore:
        AskStore(table, after, reading, asked);
        return;
      case RelayChoice::Source::kPeer:
        if (asked < kMaxPeersAsked) {
          AskPeer(choice.peer, table, after, reading, asked);
        } else {
          AskStore(table, after, reading, asked);
        }
        return;
      case RelayChoice::Source::kNobody:
        FailLater(table, reading, "no VM of the zone reaches the store");
        return;
    }
  }

  /** Posted, because callers expect their callback after the call has returned. */
  void FailLater(const std::string& table, std::uint64_t reading, const char* detail) {
    loop.Post([weak = weak_from_this(), table, reading, detail] {
      if (const auto self = weak.lock()) {
        self->Finish(table, reading, Error{ErrorCode::kUnavailable, "read rows", "", detail});
      }
    });
  }

  void NoteSource(const std::string& table, const RelayChoice& choice) {
    std::string source = choice.source == RelayChoice::Source::kPeer    ? choice.peer.vm
                         : choice.source == RelayChoice::Source::kStore ? "store"
                                                                        : "nobody";
    std::string& known = readings[table].source;
    if (known != source) {
      logging::LogChange("store", "source",
                         {{"table", table}, {"peer", source}, {"before", known}});
      known = std::move(source);
    }
  }

  void AskStore(const std::string& table, std::optional<std::uint64_t> after, std::uint64_t reading,
                int asked) {
    const TimePoint not_before = readings[table].store_not_before;
    if (loop.Now() < not_before) {
      auto& timer = readings[table].gap_timer;
      timer = std::make_unique<net::Timer>(
          loop, [this, table, after, reading, asked] { AskStore(table, after, reading, asked); });
      timer->StartOnce(std::chrono::ceil<milliseconds>(not_before - loop.Now()));
      return;
    }
    if (reading != readings[table].number) {
      return;
    }
    ForgetOldFailure();
    if (state.store_failing_since.has_value() && table != scout) {
      FailLater(table, reading, "the store did not answer for another table");
      return;
    }
    store_reads.Add();
    const bool is_whole = !after.has_value();
    auto take = [weak = weak_from_this(), table, after, reading, asked,
                 asked_at = loop.Now()](const Result<store::TableRows>& result) {
      if (const auto self = weak.lock()) {
        self->OnStoreAnswered(table, after, reading, asked, asked_at, result);
      }
    };
    if (is_whole) {
      direct.ReadTable(table, std::move(take));
    } else {
      direct.AwaitChanges(table, *after, kStoreWait, std::move(take));
    }
  }

  /** This VM may have read from peers since, and know nothing of the store. */
  void ForgetOldFailure() {
    if (state.store_failing_since.has_value() && loop.Now() - store_failed_at > kFailureMemory) {
      state.store_failing_since.reset();
    }
  }

  void OnStoreAnswered(const std::string& table, std::optional<std::uint64_t> after,
                       std::uint64_t reading, int asked, TimePoint asked_at,
                       const Result<store::TableRows>& result) {
    if (IsOk(result) || ErrorOf(result).code == ErrorCode::kConflict) {
      NoteStoreAnswers();
    } else {
      ForgetOldFailure();
      store_failed_at = loop.Now();
      if (!state.store_failing_since.has_value()) {
        state.store_failing_since = asked_at;
        scout = table;
      }
      selector.OnStale(own_vm, loop.Now());
      state.tables[table].fresh_at.reset();
      answers.OnStoreFailed(table);
    }
    Reading& current = readings[table];
    state.tables[table].reader = {};
    const bool ended_early = loop.Now() - asked_at < kStoreWait;
    current.gap = ended_early ? std::min(current.gap * 2, kLongestGap) : kFirstGap;
    current.store_not_before = loop.Now() + current.gap;
    if (IsOk(result)) {
      Keep(table, reading, ValueOf(result), !after.has_value(), loop.Now(), true);
    } else if (ErrorOf(result).code != ErrorCode::kConflict && asked < kMaxPeersAsked) {
      // The store may refuse this VM and serve others.
      Ask(table, after, reading, asked + 1);
      return;
    }
    Finish(table, reading, result);
  }

  void NoteStoreAnswers() {
    selector.OnAnswered(own_vm);
    if (state.store_failing_since.has_value()) {
      const Duration outage = loop.Now() - *state.store_failing_since;
      state.store_failing_since.reset();
      if (outage > kShortOutage) {
        NoteReturn(loop.Now());
      }
    }
  }

  void NoteReturn(TimePoint back_at) {
    if (state.store_back_at.has_value() && back_at <= *state.store_back_at + kShortOutage) {
      return;
    }
    state.store_back_at = back_at;
    if (on_store_returned != nullptr) {
      on_store_returned(loop.Now() - back_at);
    }
  }

  void AskPeer(const RelayPeer& peer, const std::string& table, std::optional<std::uint64_t> after,
               std::uint64_t reading, int asked) {
    peer_reads.Add();
    Reading& current = readings[table];
    if (current.connection == nullptr || !current.connection->IsIdle() ||
        current.connected_vm != peer.vm || loop.Now() > current.connection->IdleUntil()) {
      current.connection = std::make_shared<http::ClientConnection>(
          loop, peer.endpoint, http::ClientConnectionOptions{});
      current.connected_vm = peer.vm;
    }
    http::ClientRequest call;
    call.request.method = "GET";
    call.request.path = std::string(kRelayPath) + "?table=" + http::PercentEncode(table);
    if (after.has_value()) {
      call.request.path +=
          "&after=" + std::to_string(*after) + "&wait=" + std::to_string(kPeerWait.count());
    }
    call.timeout = kPeerWait + kPeerAnswerTime;
    current.connection->Start(call, [weak = weak_from_this(), peer, table, after, reading,
                                     asked](http::HttpCallResult result) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      // Posted: the connection is busy until this callback has returned.
      self->loop.Post([weak, peer, table, after, reading, asked,
                       shared = std::make_shared<http::HttpCallResult>(std::move(result))] {
        if (const auto later = weak.lock()) {
          later->OnPeerAnswered(peer, table, after, reading, asked, *shared);
        }
      });
    });
  }

  void OnPeerAnswered(const RelayPeer& peer, const std::string& table,
                      std::optional<std::uint64_t> after, std::uint64_t reading, int asked,
                      const http::HttpCallResult& result) {
    const auto* response = std::get_if<http::HttpResponse>(&result);
    if (response == nullptr) {
      selector.OnSilent(peer.vm, loop.Now());
      Ask(table, after, reading, asked + 1);
      return;
    }
    if (response->status == kRelayGone) {
      selector.OnAnswered(peer.vm);
      Finish(table, reading, Error{ErrorCode::kConflict, "read rows", peer.vm, "history is gone"});
      return;
    }
    if (response->status == kRelayTooLarge) {
      selector.OnAnswered(peer.vm);
      AskStore(table, after, reading, asked);
      return;
    }
    if (response->status == kRelayNotReader) {
      FollowToReader(peer, ParsePeer(response->body), table, after, reading, asked);
      return;
    }
    auto relayed = response->status == kRelayOk
                       ? DecodeRows(peer.vm, response->body)
                       : Result<RelayedRows>(
                             Error{ErrorCode::kUnavailable, "read rows", peer.vm, "not fresh"});
    // A whole table from before what is known here would lead back.
    const bool leads_back = IsOk(relayed) && !after.has_value() &&
                            ValueOf(relayed).rows.version < state.tables[table].rows.Version();
    if (!IsOk(relayed) || leads_back) {
      selector.OnStale(peer.vm, loop.Now());
      Ask(table, after, reading, asked + 1);
      return;
    }
    selector.OnAnswered(peer.vm);
    state.tables[table].reader = peer;
    RelayedRows value = TakeValue(std::move(relayed));
    // The store's version grows with every write; a peer without changes may be a little behind.
    value.rows.version = std::max(value.rows.version, after.value_or(0));
    if (value.since_outage.has_value()) {
      NoteReturn(loop.Now() - *value.since_outage);
    }
    Keep(table, reading, value.rows, !after.has_value(), loop.Now() - value.age, false);
    Finish(table, reading, value.rows);
  }

  /** Asks the VM from which `peer` hears; where that is this VM, the store itself. */
  void FollowToReader(const RelayPeer& peer, const std::optional<RelayPeer>& reader,
                      const std::string& table, std::optional<std::uint64_t> after,
                      std::uint64_t reading, int asked) {
    selector.OnNotReader(peer.vm, loop.Now());
    if (reader.has_value() && reader->vm == own_vm) {
      AskStore(table, after, reading, asked);
      return;
    }
    if (reader.has_value() && !selector.IsLeftOut(reader->vm, loop.Now()) &&
        asked < kMaxPeersAsked) {
      AskPeer(*reader, table, after, reading, asked + 1);
    } else {
      Ask(table, after, reading, asked + 1);
    }
  }

  void Keep(const std::string& table, std::uint64_t reading, const store::TableRows& rows,
            bool is_whole, TimePoint fresh_at, bool from_store) {
    TableState& known = state.tables[table];
    if (reading != readings[table].number || rows.version < known.rows.Version()) {
      return;
    }
    if (!known.fresh_at.has_value() || fresh_at > *known.fresh_at) {
      known.fresh_at = fresh_at;
    }
    known.from_store = from_store;
    known.rows.Take(rows, is_whole);
    answers.OnRows(table);
  }

  void Finish(const std::string& table, std::uint64_t reading, Result<store::TableRows> result) {
    Reading& current = readings[table];
    if (reading != current.number || current.waiting == nullptr) {
      return;
    }
    const Callback<store::TableRows> callback = std::exchange(current.waiting, nullptr);
    callback(std::move(result));
  }
};

RelayedStore::RelayedStore(net::EventLoop& loop, metrics::MetricsRegistry& metrics,
                           store::TableStore& direct, const std::string& own_vm)
    : m_impl(std::make_shared<Impl>(loop, metrics, direct, own_vm)) {}
RelayedStore::~RelayedStore() = default;

void RelayedStore::OnStoreReturned(std::function<void(Duration ago)> callback) {
  m_impl->on_store_returned = std::move(callback);
}

void RelayedStore::SetPeers(const std::vector<RelayPeer>& peers) {
  m_impl->selector.SetPeers(peers);
}

void RelayedStore::Answer(std::shared_ptr<http::ServerExchange> exchange) {
  m_impl->answers.Answer(std::move(exchange));
}

void RelayedStore::AskStoreNow() {
  for (auto& [table, reading] : m_impl->readings) {
    const std::uint64_t version = m_impl->state.tables[table].rows.Version();
    if (reading.waiting != nullptr && version > 0) {
      m_impl->Read(table, version, std::exchange(reading.waiting, nullptr), true);
    }
  }
}

void RelayedStore::Tick() { m_impl->answers.Tick(); }

bool RelayedStore::WouldReadStore() const {
  return m_impl->selector.Choose(m_impl->loop.Now()).source == RelayChoice::Source::kStore;
}

bool RelayedStore::ReadsStore(const std::string& table) const {
  const auto found = m_impl->state.tables.find(table);
  return found != m_impl->state.tables.end() && found->second.from_store;
}

std::uint64_t RelayedStore::NewestChange(const std::string& table) const {
  const auto found = m_impl->state.tables.find(table);
  return found == m_impl->state.tables.end() ? 0 : found->second.rows.NewestChange();
}

void RelayedStore::ReadTable(const std::string& table, Callback<store::TableRows> callback) {
  m_impl->Read(table, std::nullopt, std::move(callback), false);
}

void RelayedStore::AwaitChanges(const std::string& table, std::uint64_t after,
                                milliseconds /*wait*/, Callback<store::TableRows> callback) {
  m_impl->Read(table, after, std::move(callback), false);
}

void RelayedStore::WriteRow(const std::string& table, const std::string& key,
                            const std::string& value, Callback<Success> callback) {
  m_impl->direct.WriteRow(table, key, value, std::move(callback));
}

}  // namespace qh::gateway
