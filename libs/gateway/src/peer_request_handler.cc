#include "peer_request_handler.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "quetzalhinge/gateway/relayed_store.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** Maximum age of relayed rows. The peer judges by their age whether it must ask the store. */
constexpr milliseconds kMaxRelayAge{2500};

/** How long after the end of a store outage responses to other VMs report it. */
constexpr milliseconds kOutageReportTime{3000};

std::uint64_t QueryNumber(const std::string& path, const char* name) {
  const std::string text = http::QueryParameter(path, name).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** Formats the body of a kRelayNotReader response: "<vm> <ip>:<port>", or empty if unknown. */
std::string FormatReader(const RelayPeer& reader) {
  return reader.vm.empty() ? "" : reader.vm + " " + ToString(reader.endpoint);
}

}  // namespace

std::optional<RelayPeer> ParseReader(std::string_view body) {
  const std::size_t blank = body.find(' ');
  if (blank == std::string::npos) {
    return std::nullopt;
  }
  const auto endpoint = ParseIpEndpoint(body.substr(blank + 1));
  return endpoint.has_value()
             ? std::optional(RelayPeer{std::string(body.substr(0, blank)), *endpoint})
             : std::nullopt;
}

const TableState& PeerRequestHandler::StateOf(const std::string& table) const {
  static const TableState unknown;
  const auto found = m_state.tables.find(table);
  return found == m_state.tables.end() ? unknown : found->second;
}

/** Only rows read directly from the store are relayed, so that VMs never wait for each other. */
bool PeerRequestHandler::IsFresh(const TableState& state) const {
  return state.from_store && state.fresh_at.has_value() &&
         m_loop.Now() - *state.fresh_at <= kMaxRelayAge;
}

void PeerRequestHandler::RespondWithRows(const Request& request, const TableState& state,
                                         const store::TableRows& rows, TimePoint current_at,
                                         bool is_complete) const {
  std::size_t bytes = 0;
  for (const store::StoredRow& row : rows.rows) {
    bytes += row.value.size();
  }
  if (bytes > kMaxRelayedBytes || state.rows.HasOmittedValue(rows)) {
    request.exchange->Respond({kRelayTooLarge, {}, "", false});
    return;
  }
  const TimePoint now = m_loop.Now();
  RelayedRows relayed;
  relayed.rows = rows;
  relayed.is_complete = is_complete;
  relayed.age = now - current_at;
  relayed.held = now - request.received_at;
  if (m_state.store_recovered_at.has_value() &&
      now - *m_state.store_recovered_at < kOutageReportTime) {
    relayed.since_outage = now - *m_state.store_recovered_at;
  }
  request.exchange->Respond({kRelayOk, {}, EncodeRows(relayed), false});
}

bool PeerRequestHandler::RespondIfChanged(const Request& request, const TableState& state) const {
  const auto changes = state.rows.ChangesSince(request.after);
  if (!changes.has_value()) {
    request.exchange->Respond({kRelayHistoryGone, {}, "", false});
    return true;
  }
  if (!changes->rows.empty()) {
    RespondWithRows(request, state, *changes, *state.fresh_at, false);
    return true;
  }
  return false;
}

void PeerRequestHandler::RespondWithKnownRows(const Request& request,
                                              const TableState& state) const {
  if (!state.confirmed_at.has_value()) {
    request.exchange->Respond({kRelayNotFresh, {}, "", false});
    return;
  }
  const auto changes = state.rows.ChangesSince(request.after);
  RespondWithRows(request, state, changes.has_value() ? *changes : state.rows.All(),
                  *state.confirmed_at, !changes.has_value());
}

void PeerRequestHandler::Refuse(http::ServerExchange& exchange, const TableState& state) const {
  if (m_state.store_failing_since.has_value()) {
    exchange.Respond({kRelayNotFresh, {}, "", false});
    return;
  }
  exchange.Respond({kRelayNotReader, {}, FormatReader(state.reader), false});
}

void PeerRequestHandler::Handle(const std::shared_ptr<http::ServerExchange>& exchange) {
  const std::string& path = exchange->Request().path;
  if (http::PathOnly(path) == kFormerRelayPath) {
    exchange->Respond({kRelayNotReader, {}, "", false});
    return;
  }
  const std::string table = http::QueryParameter(path, "table").value_or("");
  const TableState& state = StateOf(table);
  const TimePoint now = m_loop.Now();
  Request request{exchange, table, QueryNumber(path, "after"), now, now};
  if (http::QueryParameter(path, "known").has_value()) {
    RespondWithKnownRows(request, state);
    return;
  }
  if (!IsFresh(state)) {
    Refuse(*exchange, state);
    return;
  }
  if (!http::QueryParameter(path, "after").has_value()) {
    RespondWithRows(request, state, state.rows.All(), *state.fresh_at, false);
    return;
  }
  if (!RespondIfChanged(request, state)) {
    const std::uint64_t wait =
        std::min<std::uint64_t>(kMaxPeerWait.count(), QueryNumber(path, "wait"));
    request.until = now + milliseconds(wait);
    m_waiters.push_back(std::move(request));
  }
}

template <typename Predicate>
void PeerRequestHandler::RetainWaiters(const Predicate& must_wait) {
  std::vector<Request> waiters = std::exchange(m_waiters, {});
  std::erase_if(waiters, [&](const Request& waiter) { return !must_wait(waiter); });
  m_waiters = std::move(waiters);
}

void PeerRequestHandler::OnRows(const std::string& table) {
  const TableState& state = StateOf(table);
  const bool is_fresh = IsFresh(state);
  RetainWaiters([&](const Request& waiter) {
    if (waiter.table != table) {
      return true;
    }
    const bool has_responded = RespondIfChanged(waiter, state);
    if (!has_responded && is_fresh) {
      RespondWithRows(waiter, state, {{}, state.rows.Version()}, *state.fresh_at, false);
    }
    return !has_responded && !is_fresh;
  });
}

void PeerRequestHandler::OnStoreFailed(const std::string& table) {
  RetainWaiters([&](const Request& waiter) {
    if (waiter.table != table) {
      return true;
    }
    Refuse(*waiter.exchange, StateOf(table));
    return false;
  });
}

void PeerRequestHandler::Tick() {
  RetainWaiters([&](const Request& waiter) {
    if (!waiter.exchange->IsConnected()) {
      return false;
    }
    if (m_loop.Now() < waiter.until) {
      return true;
    }
    const TableState& state = StateOf(waiter.table);
    if (IsFresh(state)) {
      RespondWithRows(waiter, state, {{}, state.rows.Version()}, *state.fresh_at, false);
    } else {
      Refuse(*waiter.exchange, state);
    }
    return false;
  });
}

}  // namespace qh::gateway
