#pragma once

#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/net/event_loop.h"
#include "relay_state.h"

namespace qh::gateway {

/** Answers other VMs that ask for rows: at once, when rows change, or when their wait is over. */
class PeerAnswers {
 public:
  /** The loop and the state must outlive this object. */
  PeerAnswers(net::EventLoop& loop, const RelayState& state) : m_loop(loop), m_state(state) {}

  /** Takes the question of another VM. */
  void Handle(std::shared_ptr<http::ServerExchange> exchange);

  /** Rows of `table` were taken: answers those who wait for them. */
  void OnRows(const std::string& table);

  /** The store did not answer for `table`: turns those away who wait for it. */
  void OnStoreFailed(const std::string& table);

  /** Answers those whose wait is over; to be called a few times a second. */
  void Tick();

 private:
  struct Waiter {
    std::shared_ptr<http::ServerExchange> exchange;
    std::string table;
    std::uint64_t after = 0;
    TimePoint until;
  };

  const TableState& StateOf(const std::string& table) const;
  bool IsFresh(const TableState& state) const;
  void RespondWithRows(http::ServerExchange& exchange, const TableState& state,
                       const store::TableRows& rows) const;
  /** Answers with the changes since `after` if there are any; returns whether it has answered. */
  bool RespondIfChanged(http::ServerExchange& exchange, const TableState& state,
                        std::uint64_t after) const;
  void Refuse(http::ServerExchange& exchange, const TableState& state) const;

  /** Drops the waiters for which `must_wait` is false; it has answered those that are connected. */
  template <typename Predicate>
  void RetainWaiters(const Predicate& must_wait);

  net::EventLoop& m_loop;
  const RelayState& m_state;
  std::vector<Waiter> m_waiters;
};

}  // namespace qh::gateway
