#include "quetzalhinge/gateway/relayed_store.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"

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

/** How long a VM waits at a peer. */
constexpr milliseconds kPeerWait{700};

/** How long a peer's answer may take beyond the wait. */
constexpr milliseconds kPeerAnswerTime{400};

/** Rows that were current longer ago than this are not passed on: a wait, a pause and an answer. */
constexpr milliseconds kMaxRelayAge{2500};

/** Peers that are asked for one reading, before it fails; as many as read in an outage, and some.
 */
constexpr int kMaxPeersAsked = 10;

/** A store that did not answer for less than this has let no entry lapse. */
constexpr milliseconds kShortOutage{300};

/** A failure longer ago than this says nothing about the store now. */
constexpr milliseconds kFailureMemory{1500};

/** How long after the store's return other VMs are told of it. */
constexpr milliseconds kTellOutageFor{3000};

/**
 * Bytes of rows that are passed on. More would hold up a VM with a slow link that passes them to
 * fifty others, while the store's link carries them to all at once.
 */
constexpr std::size_t kMaxRelayedBytes = 32 * 1024;

constexpr int kOk = 200;
constexpr int kTooLarge = 413;
constexpr int kGone = 410;
/** The store does not answer the VM that was asked. */
constexpr int kNotFresh = 503;
/** The VM that was asked does not read the store; the body names the one that it hears from. */
constexpr int kNotReader = 421;

std::uint64_t NumberOf(const std::string& path, const char* name) {
  const std::string text = http::QueryParameter(path, name).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

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
  /** What this VM knows of one table, and who waits for it. */
  struct Table {
    RowCopy rows;
    std::optional<TimePoint> fresh_at;
    bool from_store = false;
    /** Where the last reading was asked for: a VM, "store" or "nobody". */
    std::string source;
    /** The VM that has answered last; empty while the store is read. */
    RelayPeer reader;
    std::shared_ptr<http::ClientConnection> connection;
    std::string connected_vm;
    /** Counts readings; answers to given-up ones are ignored. */
    std::uint64_t reading = 0;
    /** Pause before the store is asked again, and when it may be. */
    milliseconds gap = kFirstGap;
    TimePoint store_not_before{};
    Callback<store::TableRows> waiting;
  };

  /** A peer that waits for changes. */
  struct Waiter {
    std::shared_ptr<http::ServerExchange> exchange;
    std::string table;
    std::uint64_t after = 0;
    TimePoint until;
  };

  net::EventLoop& loop;
  store::TableStore& direct;
  std::string own_vm;
  RelaySelector selector;
  metrics::Counter& store_reads;
  metrics::Counter& peer_reads;
  std::map<std::string, Table> tables;
  std::vector<Waiter> waiters;
  /** When the first call began that the store has not answered since. */
  std::optional<TimePoint> store_failing_since;
  TimePoint store_failed_at{};
  /** The table whose reading failed first; the others wait until it succeeds. */
  std::string scout;
  std::optional<TimePoint> store_back_at;
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
    Table& state = tables[table];
    ++state.reading;
    state.waiting = std::move(callback);
    Ask(table, after, state.reading, from_store ? kMaxPeersAsked + 1 : 0);
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
    std::string& known = tables[table].source;
    if (known != source) {
      logging::LogChange("store", "source",
                         {{"table", table}, {"peer", source}, {"before", known}});
      known = std::move(source);
    }
  }

  void AskStore(const std::string& table, std::optional<std::uint64_t> after, std::uint64_t reading,
                int asked) {
    const TimePoint not_before = tables[table].store_not_before;
    if (loop.Now() < not_before) {
      Later(not_before,
            [this, table, after, reading, asked] { AskStore(table, after, reading, asked); });
      return;
    }
    if (reading != tables[table].reading) {
      return;
    }
    ForgetOldFailure();
    if (store_failing_since.has_value() && table != scout) {
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

  /** Runs `task` at `time`, as long as this object exists. */
  void Later(TimePoint time, std::function<void()> task) {
    auto timer = std::make_shared<std::unique_ptr<net::Timer>>();
    *timer = std::make_unique<net::Timer>(loop,
                                          [weak = weak_from_this(), timer, task = std::move(task)] {
                                            // The timer holds this function; both go when the
                                            // posted task has run.
                                            const auto self = weak.lock();
                                            if (self != nullptr) {
                                              self->loop.Post([timer] { timer->reset(); });
                                              task();
                                            }
                                          });
    (*timer)->StartOnce(std::chrono::ceil<milliseconds>(time - loop.Now()));
  }

  /** This VM may have read from peers since, and know nothing of the store. */
  void ForgetOldFailure() {
    if (store_failing_since.has_value() && loop.Now() - store_failed_at > kFailureMemory) {
      store_failing_since.reset();
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
      if (!store_failing_since.has_value()) {
        store_failing_since = asked_at;
        scout = table;
      }
      selector.OnStale(own_vm, loop.Now());
      tables[table].fresh_at.reset();
      TurnWaitersAway(table);
    }
    Table& state = tables[table];
    state.reader = {};
    const bool ended_early = loop.Now() - asked_at < kStoreWait;
    state.gap = ended_early ? std::min(state.gap * 2, kLongestGap) : kFirstGap;
    state.store_not_before = loop.Now() + state.gap;
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
    if (store_failing_since.has_value()) {
      const Duration outage = loop.Now() - *store_failing_since;
      store_failing_since.reset();
      if (outage > kShortOutage) {
        NoteReturn(loop.Now());
      }
    }
  }

  void NoteReturn(TimePoint back_at) {
    if (store_back_at.has_value() && back_at <= *store_back_at + kShortOutage) {
      return;
    }
    store_back_at = back_at;
    if (on_store_returned != nullptr) {
      on_store_returned(loop.Now() - back_at);
    }
  }

  /** Tells the peers that wait for `table` that this VM has nothing fresh. */
  void TurnWaitersAway(const std::string& table) {
    std::vector<Waiter> kept;
    for (Waiter& waiter : std::exchange(waiters, {})) {
      if (waiter.table == table) {
        TurnAway(*waiter.exchange, tables[table]);
      } else {
        kept.push_back(std::move(waiter));
      }
    }
    waiters = std::move(kept);
  }

  /** Answers a peer for which this VM has nothing. */
  void TurnAway(http::ServerExchange& exchange, const Table& state) const {
    const bool store_fails = store_failing_since.has_value();
    const std::string reader =
        state.reader.vm.empty() ? "" : state.reader.vm + " " + ToString(state.reader.endpoint);
    exchange.Respond({store_fails ? kNotFresh : kNotReader, {}, store_fails ? "" : reader, false});
  }

  void AskPeer(const RelayPeer& peer, const std::string& table, std::optional<std::uint64_t> after,
               std::uint64_t reading, int asked) {
    peer_reads.Add();
    Table& state = tables[table];
    if (state.connection == nullptr || !state.connection->IsIdle() ||
        state.connected_vm != peer.vm || loop.Now() > state.connection->IdleUntil()) {
      state.connection = std::make_shared<http::ClientConnection>(loop, peer.endpoint,
                                                                  http::ClientConnectionOptions{});
      state.connected_vm = peer.vm;
    }
    http::ClientRequest call;
    call.request.method = "GET";
    call.request.path = std::string(kRelayPath) + "?table=" + http::PercentEncode(table);
    if (after.has_value()) {
      call.request.path +=
          "&after=" + std::to_string(*after) + "&wait=" + std::to_string(kPeerWait.count());
    }
    call.timeout = kPeerWait + kPeerAnswerTime;
    state.connection->Start(call, [weak = weak_from_this(), peer, table, after, reading,
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
    if (response->status == kGone) {
      selector.OnAnswered(peer.vm);
      Finish(table, reading, Error{ErrorCode::kConflict, "read rows", peer.vm, "history is gone"});
      return;
    }
    if (response->status == kTooLarge) {
      selector.OnAnswered(peer.vm);
      AskStore(table, after, reading, asked);
      return;
    }
    if (response->status == kNotReader) {
      FollowToReader(peer, ParsePeer(response->body), table, after, reading, asked);
      return;
    }
    auto relayed = response->status == kOk
                       ? DecodeRows(peer.vm, response->body)
                       : Result<RelayedRows>(
                             Error{ErrorCode::kUnavailable, "read rows", peer.vm, "not fresh"});
    // A whole table from before what is known here would lead back.
    const bool leads_back = IsOk(relayed) && !after.has_value() &&
                            ValueOf(relayed).rows.version < tables[table].rows.Version();
    if (!IsOk(relayed) || leads_back) {
      selector.OnStale(peer.vm, loop.Now());
      Ask(table, after, reading, asked + 1);
      return;
    }
    selector.OnAnswered(peer.vm);
    tables[table].reader = peer;
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
    Table& state = tables[table];
    if (reading != state.reading || rows.version < state.rows.Version()) {
      return;
    }
    if (!state.fresh_at.has_value() || fresh_at > *state.fresh_at) {
      state.fresh_at = fresh_at;
    }
    state.from_store = from_store;
    state.rows.Take(rows, is_whole);
    AnswerWaiters(table);
  }

  void Finish(const std::string& table, std::uint64_t reading, Result<store::TableRows> result) {
    Table& state = tables[table];
    if (reading != state.reading || state.waiting == nullptr) {
      return;
    }
    const Callback<store::TableRows> callback = std::exchange(state.waiting, nullptr);
    callback(std::move(result));
  }

  /** Only what was read from the store itself is passed on: VMs never wait for each other. */
  bool IsFresh(const Table& state) const {
    return state.from_store && state.fresh_at.has_value() &&
           loop.Now() - *state.fresh_at <= kMaxRelayAge;
  }

  void AnswerWith(http::ServerExchange& exchange, const Table& state,
                  const store::TableRows& rows) const {
    std::size_t bytes = 0;
    for (const store::StoredRow& row : rows.rows) {
      bytes += row.value.size();
    }
    if (bytes > kMaxRelayedBytes) {
      exchange.Respond({kTooLarge, {}, "", false});
      return;
    }
    RelayedRows relayed{rows, loop.Now() - *state.fresh_at, std::nullopt};
    if (store_back_at.has_value() && loop.Now() - *store_back_at < kTellOutageFor) {
      relayed.since_outage = loop.Now() - *store_back_at;
    }
    exchange.Respond({kOk, {}, EncodeRows(relayed), false});
  }

  void Answer(std::shared_ptr<http::ServerExchange> exchange) {
    const std::string& path = exchange->Request().path;
    const std::string table = http::QueryParameter(path, "table").value_or("");
    const auto found = tables.find(table);
    if (found == tables.end() || !IsFresh(found->second)) {
      TurnAway(*exchange, tables[table]);
      return;
    }
    const Table& state = found->second;
    if (!http::QueryParameter(path, "after").has_value()) {
      AnswerWith(*exchange, state, state.rows.All());
      return;
    }
    const std::uint64_t after = NumberOf(path, "after");
    const auto changes = state.rows.ChangesSince(after);
    if (!changes.has_value()) {
      exchange->Respond({kGone, {}, "", false});
    } else if (!changes->rows.empty()) {
      AnswerWith(*exchange, state, *changes);
    } else {
      const milliseconds wait = std::min(kPeerWait, milliseconds(NumberOf(path, "wait")));
      waiters.push_back({std::move(exchange), table, after, loop.Now() + wait});
    }
  }

  /** Answers the peers that wait for `table`, if there is something for them. */
  void AnswerWaiters(const std::string& table) {
    const Table& state = tables[table];
    std::vector<Waiter> kept;
    for (Waiter& waiter : std::exchange(waiters, {})) {
      const auto changes = waiter.table == table
                               ? state.rows.ChangesSince(waiter.after)
                               : std::optional<store::TableRows>(store::TableRows{});
      if (!changes.has_value()) {
        waiter.exchange->Respond({kGone, {}, "", false});
      } else if (!changes->rows.empty()) {
        AnswerWith(*waiter.exchange, state, *changes);
      } else {
        kept.push_back(std::move(waiter));
      }
    }
    waiters.insert(waiters.end(), std::make_move_iterator(kept.begin()),
                   std::make_move_iterator(kept.end()));
  }

  void Tick() {
    std::vector<Waiter> kept;
    for (Waiter& waiter : std::exchange(waiters, {})) {
      if (!waiter.exchange->IsConnected()) {
        continue;
      }
      if (loop.Now() < waiter.until) {
        kept.push_back(std::move(waiter));
        continue;
      }
      const Table& state = tables[waiter.table];
      if (IsFresh(state)) {
        AnswerWith(*waiter.exchange, state, {{}, state.rows.Version()});
      } else {
        TurnAway(*waiter.exchange, state);
      }
    }
    waiters = std::move(kept);
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
  m_impl->Answer(std::move(exchange));
}

void RelayedStore::AskStoreNow() {
  for (auto& [table, state] : m_impl->tables) {
    if (state.waiting != nullptr && state.rows.Version() > 0) {
      m_impl->Read(table, state.rows.Version(), std::exchange(state.waiting, nullptr), true);
    }
  }
}

void RelayedStore::Tick() { m_impl->Tick(); }

bool RelayedStore::ReadsStore(const std::string& table) const {
  const auto found = m_impl->tables.find(table);
  return found != m_impl->tables.end() && found->second.from_store;
}

std::uint64_t RelayedStore::NewestChange(const std::string& table) const {
  const auto found = m_impl->tables.find(table);
  return found == m_impl->tables.end() ? 0 : found->second.rows.NewestChange();
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
