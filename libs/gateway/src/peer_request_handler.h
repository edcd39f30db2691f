#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/net/event_loop.h"
#include "relay_state.h"

namespace qh::gateway {

/**
 * Parses the body of a kRelayNotReader response; std::nullopt if it names no VM or is malformed.
 */
std::optional<RelayPeer> ParseReader(std::string_view body);

/** Responds to other VMs' requests for rows: at once, when rows change, or after a time-out. */
class PeerRequestHandler {
 public:
  /** The loop and the state must outlive this object. */
  PeerRequestHandler(net::EventLoop& loop, const RelayState& state)
      : m_loop(loop), m_state(state) {}

  /** Handles a request of another VM; the response may follow later. */
  void Handle(const std::shared_ptr<http::ServerExchange>& exchange);

  /**
   * Responds to the peers that wait for changes of `table`, after a read of it has ended: with the
   * changes, or, if the rows come from the store, with the confirmation that there are none.
   */
  void OnRows(const std::string& table);

  /** Refuses the peers that wait for changes of `table`, after a read from the store failed. */
  void OnStoreFailed(const std::string& table);

  /** Responds to peers whose wait has timed out. Must be called a few times per second. */
  void Tick();

 private:
  struct Request {
    std::shared_ptr<http::ServerExchange> exchange;
    std::string table;
    std::uint64_t after = 0;
    TimePoint received_at;
    /** When the wait for changes ends. */
    TimePoint until;
  };

  const TableState& StateOf(const std::string& table) const;
  bool IsFresh(const TableState& state) const;
  /**
   * Sends `rows`, which were last known to be current at `current_at`. `is_complete`: all rows of
   * the table in place of the requested changes.
   */
  void RespondWithRows(const Request& request, const TableState& state,
                       const store::TableRows& rows, TimePoint current_at, bool is_complete) const;
  /**
   * Sends the requested changes, even none, as far as this VM knows them; all rows if it may no
   * longer know all removals.
   */
  void RespondWithKnownRows(const Request& request, const TableState& state) const;
  /** Sends the requested changes if there are any; returns whether a response was sent. */
  bool RespondIfChanged(const Request& request, const TableState& state) const;
  void Refuse(http::ServerExchange& exchange, const TableState& state) const;

  /**
   * Removes the waiters for which `must_wait` returns false. The predicate itself responds to those
   * that are still connected.
   */
  template <typename Predicate>
  void RetainWaiters(const Predicate& must_wait);

  net::EventLoop& m_loop;
  const RelayState& m_state;
  std::vector<Request> m_waiters;
};

}  // namespace qh::gateway
