#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/idempotency/key_table.h"

namespace qh::idempotency {

/** Hash of a key's text under two secret seeds; takes the place of the text. */
struct KeyId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const KeyId&) const = default;
};

struct KeyIdHash {
  std::size_t operator()(const KeyId& id) const noexcept { return id.low; }
};

enum class KeyState : std::uint8_t { kRunning, kDone, kUnknown, kRefused };

/** A key that is not absent. */
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
 * The entries of a KeyTable with their time of expiry. Entries that expire in the same second form
 * a bucket, and the buckets form a ring over the seconds, so that adding, removing and expiring an
 * entry each take constant time.
 */
class KeyEntries {
 public:
  /** @param max_lifetime_s an entry's expiry lies at most this far after the time of Insert() */
  explicit KeyEntries(std::size_t max_lifetime_s);

  KeyEntry* Find(const KeyId& id);

  /** Adds an entry; `id` must be absent and `expiry_unix_s` later than the last Expire(). */
  KeyEntry* Insert(const KeyId& id, std::int64_t expiry_unix_s);

  /** Removes an entry and its response. */
  void Remove(KeyEntry* entry);

  /** Keeps a response with an entry. */
  void SetResponse(KeyEntry* entry, std::shared_ptr<const StoredResponse> response);

  /** Removes the entries whose expiry is at or before `now_s`. */
  void Expire(std::int64_t now_s);

  std::size_t Size() const noexcept { return m_entries.size(); }
  std::size_t ResponseBytes() const noexcept { return m_response_bytes; }

 private:
  KeyEntry*& BucketOf(std::int64_t expiry_unix_s) noexcept;

  std::unordered_map<KeyId, KeyEntry, KeyIdHash> m_entries;
  std::vector<KeyEntry*> m_buckets;
  std::int64_t m_last_expired_s = 0;
  std::size_t m_response_bytes = 0;
};

/** Returns the bytes that a kept response counts for. */
std::size_t ResponseSize(const StoredResponse& response) noexcept;

}  // namespace qh::idempotency
