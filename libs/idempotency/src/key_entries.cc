#include "key_entries.h"

#include <algorithm>
#include <utility>

namespace qh::idempotency {

std::size_t ResponseSize(const StoredResponse& response) noexcept {
  std::size_t bytes = sizeof(StoredResponse) + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += sizeof(std::pair<std::string, std::string>) + name.size() + value.size();
  }
  return bytes;
}

KeyEntries::KeyEntries(std::size_t max_lifetime_s) : m_buckets(max_lifetime_s + 1, nullptr) {}

KeyEntry* KeyEntries::Find(const KeyId& id) {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

KeyEntry* KeyEntries::Insert(const KeyId& id, std::int64_t expiry_unix_s) {
  KeyEntry& entry = m_entries[id];
  entry.id = id;
  entry.expiry_unix_s = expiry_unix_s;
  KeyEntry*& bucket = BucketOf(expiry_unix_s);
  entry.next = bucket;
  if (bucket != nullptr) {
    bucket->previous = &entry;
  }
  bucket = &entry;
  return &entry;
}

void KeyEntries::Remove(KeyEntry* entry) {
  SetResponse(entry, nullptr);
  if (entry->previous != nullptr) {
    entry->previous->next = entry->next;
  } else {
    BucketOf(entry->expiry_unix_s) = entry->next;
  }
  if (entry->next != nullptr) {
    entry->next->previous = entry->previous;
  }
  m_entries.erase(KeyId(entry->id));
}

void KeyEntries::SetResponse(KeyEntry* entry, std::shared_ptr<const StoredResponse> response) {
  m_response_bytes -= entry->response == nullptr ? 0 : ResponseSize(*entry->response);
  m_response_bytes += response == nullptr ? 0 : ResponseSize(*response);
  entry->response = std::move(response);
}

void KeyEntries::Expire(std::int64_t now_s) {
  const auto bucket_count = static_cast<std::int64_t>(m_buckets.size());
  // If time advanced by more than the size of the ring, visit each bucket only once.
  for (std::int64_t second = std::max(m_last_expired_s + 1, now_s - bucket_count + 1);
       second <= now_s; ++second) {
    while (BucketOf(second) != nullptr) {
      Remove(BucketOf(second));
    }
  }
  m_last_expired_s = std::max(m_last_expired_s, now_s);
}

KeyEntry*& KeyEntries::BucketOf(std::int64_t expiry_unix_s) noexcept {
  return m_buckets[static_cast<std::size_t>(expiry_unix_s) % m_buckets.size()];
}

}  // namespace qh::idempotency
