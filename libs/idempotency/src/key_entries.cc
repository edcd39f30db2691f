#include "key_entries.h"

#include <algorithm>
#include <utility>

namespace qh::idempotency {

std::size_t BytesOf(const StoredResponse& response) noexcept {
  std::size_t bytes = sizeof(StoredResponse) + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += sizeof(std::pair<std::string, std::string>) + name.size() + value.size();
  }
  return bytes;
}

KeyEntries::KeyEntries(std::size_t span_s) : m_chains(span_s + 1, nullptr) {}

KeyEntry* KeyEntries::Find(const KeyId& id) {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

KeyEntry* KeyEntries::Insert(const KeyId& id, std::int64_t expiry_unix_s) {
  KeyEntry& entry = m_entries[id];
  entry.id = id;
  entry.expiry_unix_s = expiry_unix_s;
  KeyEntry*& chain = ChainOf(expiry_unix_s);
  entry.next = chain;
  if (chain != nullptr) {
    chain->previous = &entry;
  }
  chain = &entry;
  return &entry;
}

void KeyEntries::Remove(KeyEntry* entry) {
  SetResponse(entry, nullptr);
  if (entry->previous != nullptr) {
    entry->previous->next = entry->next;
  } else {
    ChainOf(entry->expiry_unix_s) = entry->next;
  }
  if (entry->next != nullptr) {
    entry->next->previous = entry->previous;
  }
  m_entries.erase(KeyId(entry->id));
}

void KeyEntries::SetResponse(KeyEntry* entry, std::shared_ptr<const StoredResponse> response) {
  m_response_bytes -= entry->response == nullptr ? 0 : BytesOf(*entry->response);
  m_response_bytes += response == nullptr ? 0 : BytesOf(*response);
  entry->response = std::move(response);
}

void KeyEntries::Expire(std::int64_t now_s) {
  const auto ring_s = static_cast<std::int64_t>(m_chains.size());
  // A jump over more than the ring visits each chain once.
  for (std::int64_t second = std::max(m_expired_until_s + 1, now_s - ring_s + 1); second <= now_s;
       ++second) {
    while (ChainOf(second) != nullptr) {
      Remove(ChainOf(second));
    }
  }
  m_expired_until_s = std::max(m_expired_until_s, now_s);
}

KeyEntry*& KeyEntries::ChainOf(std::int64_t expiry_unix_s) noexcept {
  return m_chains[static_cast<std::size_t>(expiry_unix_s) % m_chains.size()];
}

}  // namespace qh::idempotency
