#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/gateway/row_copy.h"

namespace qh::gateway {

/** Maximum time for which a peer may ask to wait. */
inline constexpr std::chrono::milliseconds kMaxPeerWait{10000};

/** HTTP statuses of responses between VMs. */
inline constexpr int kRelayOk = 200;
/** The peer runs a release that does not relay rows at kRelayPath. */
inline constexpr int kRelayUnknownPath = 404;
/** The peer no longer knows all changes since the requested version. */
inline constexpr int kRelayHistoryGone = 410;
/** The rows are too large to relay; the requesting VM reads them from the store. */
inline constexpr int kRelayTooLarge = 413;
/** The peer does not read the store; the body contains the VM that it reads from, if known. */
inline constexpr int kRelayNotReader = 421;
/** The store does not respond to the peer. */
inline constexpr int kRelayNotFresh = 503;

/** Where rows were read. */
struct RowSource {
  /** The store, as kStore, or the name of a VM. */
  std::string name;
  /** Whether a check read them beside the read in progress. */
  bool is_check = false;
};

/** State of one table at this VM. */
struct TableState {
  RowCopy rows;
  /** When the rows were last known to be current; empty if a read has failed since. */
  std::optional<TimePoint> fresh_at;
  /** When the rows were last known to be current, whatever happened since. */
  std::optional<TimePoint> confirmed_at;
  /** Whether the rows were last read directly from the store. */
  bool from_store = false;
  /** Where the rows were last read. */
  RowSource source;
  /** The VM from which the rows were last read; empty if that was the store. */
  RelayPeer reader;
};

/** State of the store and its tables at this VM. */
struct RelayState {
  std::map<std::string, TableState> tables;
  /** Start of the first failed read since the last successful one; empty if the store responds. */
  std::optional<TimePoint> store_failing_since;
  /** When the store recovered from its last outage. */
  std::optional<TimePoint> store_recovered_at;
};

}  // namespace qh::gateway
