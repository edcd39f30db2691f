#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/idempotency/key_table.h"

namespace qh::idempotency {

/** Hash of a key's text with two secret seeds, stored instead of the text. */
struct KeyId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const KeyId&) const = default;
};

struct KeyIdHash {
  std::size_t operator()(const KeyId& id) const noexcept { return id.low; }
};

enum class KeyState : std::uint8_t { kRunning, kDone, kUnknown, kRefused };

/** A stored key. `previous` and `next` link the entries of a bucket. */
struct KeyEntry {
  KeyId id;
  std::uint64_t fingerprint = 0;
  std::uint64_t serial = 0;
  std::shared_ptr<const StoredResponse> response;
  KeyEntry* previous = nullptr;
  KeyEntry* next = nullptr;
  std::int64_t expiry_unix_s = 0;
  KeyState state = KeyState::kRunning;
};

/**
 * The entries of a KeyTable, indexed by key and by time of expiry. Expiry uses a timing wheel whose
 * buckets are doubly linked lists, one per second, so that adding, removing and expiring an entry
 * each take constant time.
 */
class KeyEntries {
 public:
  /** @param max_lifetime_s longest time from Insert() to the expiry of an entry, in seconds */
  explicit KeyEntries(std::size_t max_lifetime_s);

  KeyEntry* Find(const KeyId& id);

  /** Adds an entry; `id` must be absent and `expiry_unix_s` later than the last Expire(). */
  KeyEntry* Insert(const KeyId& id, std::int64_t expiry_unix_s);

  /** Removes an entry and its response. */
  void Remove(KeyEntry* entry);

  /** Stores a response with an entry, replacing an earlier one; null removes it. */
  void SetResponse(KeyEntry* entry, std::shared_ptr<const StoredResponse> response);

  /** Removes the entries that expire at or before `now_s`, in seconds since the Unix epoch. */
  void Expire(std::int64_t now_s);

  std::size_t Size() const noexcept { return m_entries.size(); }
  std::size_t ResponseBytes() const noexcept { return m_response_bytes; }

 private:
  KeyEntry*& BucketOf(std::int64_t expiry_unix_s) noexcept;

  std::unordered_map<KeyId, KeyEntry, KeyIdHash> m_entries;
  /** First entry of each bucket, by expiry modulo the number of buckets. */
  std::vector<KeyEntry*> m_buckets;
  std::int64_t m_last_expired_s = 0;
  std::size_t m_response_bytes = 0;
};

/** Returns the bytes that a stored response adds to ResponseBytes(). */
std::size_t ResponseSize(const StoredResponse& response) noexcept;

}  // namespace qh::idempotency
