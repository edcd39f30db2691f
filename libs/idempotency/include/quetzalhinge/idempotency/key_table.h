#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/idempotency/key_refusal.h"
#include "quetzalhinge/idempotency/request_key.h"

namespace qh::idempotency {

/** A worker's complete response, kept to be replayed. */
struct StoredResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/** Bounds of a KeyTable. */
struct KeyTableOptions {
  /** A key is started only within this time of its issue. */
  std::chrono::seconds validity{120};
  /** Outcomes are kept until this time after the key's issue. Raised to `validity` if lower. */
  std::chrono::seconds retention{600};
  /** How far ahead of this VM's clock a key's issue may lie: other VMs issue keys for this one. */
  std::chrono::seconds max_clock_lead{30};
  std::size_t max_entries = 200'000;
  /** Bound on the stored responses together. */
  std::size_t max_response_bytes = 134'217'728;
};

/** Right to finish one started key. A ticket of an earlier start of the same key has no effect. */
struct KeyTicket {
  std::uint64_t id_high = 0;
  std::uint64_t id_low = 0;
  std::uint64_t serial = 0;
};

/** The key was absent and is now running: send the request, then finish with the ticket. */
struct KeyStarted {
  KeyTicket ticket;
};

/** The request ran; answer with the stored response. */
struct KeyReplay {
  std::shared_ptr<const StoredResponse> response;
};

using BeginResult = std::variant<KeyStarted, KeyReplay, KeyRefusal>;
using ResolveResult = std::variant<KeyReplay, KeyRefusal>;

/**
 * Keys held by this incarnation, with their states
 * absent -> running -> done | unknown, and absent -> refused.
 *
 * Guarantees that each key is started at most once, unless the start was released as not run. Time
 * never goes back inside the table: `now_us` below an earlier one counts as the earlier one, so
 * that a key which expired cannot become startable when the wall clock is set back. After retention
 * the answer is "unknown", never "not run". An entry takes about 120 bytes besides its response.
 */
class KeyTable {
 public:
  /**
   * @param self the holder whose keys this table may start
   * @param generator draws the hash seeds, so that nobody can choose keys that collide
   */
  KeyTable(KeyHolder self, KeyTableOptions options, RandomGenerator& generator);
  ~KeyTable();

  /** Decides on an authenticated key and, for KeyStarted, marks it running in the same step. */
  BeginResult Begin(const RequestKey& key, std::uint64_t fingerprint, UnixMicros now_us);

  /**
   * Stores the response of a running key. If it does not fit into max_response_bytes, later
   * attempts are answered kOutcomeUnknown.
   * @return false if the ticket is not that of a running key (finished, or past retention)
   */
  bool FinishDone(const KeyTicket& ticket, StoredResponse response);

  /** Marks a running key's outcome as unknown, for good. Returns as FinishDone(). */
  bool FinishUnknown(const KeyTicket& ticket);

  /**
   * Makes a running key absent again. Only for a request that certainly no worker ran. Returns as
   * FinishDone().
   */
  bool ReleaseNotRun(const KeyTicket& ticket);

  /**
   * Bars a running key that certainly no worker ran from ever starting again. Stricter than
   * ReleaseNotRun(): for a repeated attempt (x-qh-attempt above 1), whose earlier copy may still
   * arrive after the caller was told "not run". Returns as FinishDone().
   */
  bool RefuseNotRun(const KeyTicket& ticket);

  /**
   * Answers another VM that received the key. An absent key is refused for good first, so that a
   * delayed original cannot run after the caller was told "not run"; if there is no room for that
   * mark, the answer is kNotBarred (unknown).
   */
  ResolveResult ResolveForPeer(const RequestKey& key, std::uint64_t fingerprint, UnixMicros now_us);

  /** Removes expired keys; also done by Begin() and ResolveForPeer(). Amortised O(1) per key. */
  void Expire(UnixMicros now_us);

  /** Returns the number of keys kept. */
  std::size_t Size() const noexcept;

  /** Returns the bytes of all responses kept. */
  std::size_t ResponseBytes() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::idempotency
