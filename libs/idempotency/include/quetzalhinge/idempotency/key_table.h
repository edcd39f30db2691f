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

/** A worker's complete response, stored for replay. */
struct StoredResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/** Settings of a KeyTable. */
struct KeyTableOptions {
  /** A key can be started only within this time after its issue. */
  std::chrono::seconds validity{120};
  /** Outcomes are stored until this time after the key's issue. Raised to `validity` if lower. */
  std::chrono::seconds retention{600};
  /**
   * Maximum time by which a key's time of issue may be ahead of this VM's clock. Other VMs, with
   * clocks of their own, issue keys for this one.
   */
  std::chrono::seconds max_clock_lead{30};
  std::size_t max_entries = 200'000;
  /** Maximum total size of the stored responses. */
  std::size_t max_response_bytes = 134'217'728;
};

/** Permits finishing one started key. A ticket from an earlier start of the key has no effect. */
struct KeyTicket {
  std::uint64_t id_high = 0;
  std::uint64_t id_low = 0;
  std::uint64_t serial = 0;
};

/** The key was absent and is now running. Send the request, then finish with the ticket. */
struct KeyStarted {
  KeyTicket ticket;
};

/** The request has run; respond with the stored response. */
struct KeyReplay {
  std::shared_ptr<const StoredResponse> response;
};

using BeginResult = std::variant<KeyStarted, KeyReplay, KeyRefusal>;
using ResolveResult = std::variant<KeyReplay, KeyRefusal>;

/**
 * The idempotency keys held by this incarnation of the entry process, with their states:
 * absent -> running -> done | unknown | refused, running -> absent (released as not run) and
 * absent -> refused.
 *
 * Guarantees that each key is started at most once, unless the start was released as not run. Time
 * is monotonic inside the table: a `now_us` below an earlier one is replaced by the earlier one, so
 * that an expired key cannot become startable again when the wall clock is set back. After
 * retention the result is "unknown", never "not run". An entry takes about 120 bytes in addition to
 * its response.
 */
class KeyTable {
 public:
  /**
   * @param self holder of the keys that this table may start
   * @param generator source of the hash seeds, which are random so that callers cannot construct
   *     colliding keys
   */
  KeyTable(KeyHolder self, KeyTableOptions options, RandomGenerator& generator);
  ~KeyTable();

  /** Looks up an authenticated key and, if it may start, atomically marks it as running. */
  BeginResult Begin(const RequestKey& key, std::uint64_t fingerprint, UnixMicros now_us);

  /**
   * Stores the response of a running key. If it does not fit into max_response_bytes, later
   * attempts get kOutcomeUnknown.
   * @return false if the ticket's key is not running: already finished, released or expired
   */
  bool FinishDone(const KeyTicket& ticket, StoredResponse response);

  /** Permanently marks the outcome of a running key as unknown. Returns as FinishDone(). */
  bool FinishUnknown(const KeyTicket& ticket);

  /**
   * Makes a running key absent again. Only for a request that is known not to have run at any
   * worker. Returns as FinishDone().
   */
  bool ReleaseNotRun(const KeyTicket& ticket);

  /**
   * Permanently refuses a running key whose request is known not to have run at any worker.
   * Stricter than ReleaseNotRun(): for a repeated attempt (x-qh-attempt above 1), an earlier copy
   * of the request may still arrive after the caller received "not run". Returns as FinishDone().
   */
  bool RefuseNotRun(const KeyTicket& ticket);

  /**
   * Returns the state of a key to another VM that received it. An absent key is permanently refused
   * first, so that a delayed original request cannot run after the caller received "not run". If
   * the refusal cannot be stored, the result is kNotBarred, which callers see as an unknown
   * outcome.
   */
  ResolveResult ResolveForPeer(const RequestKey& key, std::uint64_t fingerprint, UnixMicros now_us);

  /** Removes expired keys, as do Begin() and ResolveForPeer(). Amortised O(1) per key. */
  void Expire(UnixMicros now_us);

  /** Returns the number of stored keys. */
  std::size_t Size() const noexcept;

  /** Returns the total size of the stored responses in bytes. */
  std::size_t ResponseBytes() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::idempotency
