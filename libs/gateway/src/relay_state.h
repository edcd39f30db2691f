#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/gateway/row_copy.h"

namespace qh::gateway {

/** How long a VM waits at a peer. */
inline constexpr std::chrono::milliseconds kMaxPeerWait{700};

/** Statuses with which VMs answer each other. */
inline constexpr int kRelayOk = 200;
inline constexpr int kRelayHistoryGone = 410;
inline constexpr int kRelayTooLarge = 413;
/** The VM that was asked does not read the store; the body names the one that it hears from. */
inline constexpr int kRelayNotReader = 421;
/** The store does not answer the VM that was asked. */
inline constexpr int kRelayNotFresh = 503;

/** What a VM knows of one table. */
struct TableState {
  RowCopy rows;
  /** When the rows were last known as current. */
  std::optional<TimePoint> fresh_at;
  /** Whether that was at the store itself. */
  bool from_store = false;
  /** The VM that the rows came from; empty if that was the store. */
  RelayPeer reader;
};

/** What a VM knows of the store and its tables. */
struct RelayState {
  std::map<std::string, TableState> tables;
  /** When the first call began that the store has not answered since. */
  std::optional<TimePoint> store_failing_since;
  /** When the store came back from its last outage. */
  std::optional<TimePoint> store_recovered_at;
};

}  // namespace qh::gateway
