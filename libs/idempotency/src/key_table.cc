#include "quetzalhinge/idempotency/key_table.h"

#include <algorithm>
#include <optional>

#include "key_entries.h"
#include "quetzalhinge/base/hash.h"

namespace qh::idempotency {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

KeyTableOptions WithValidBounds(KeyTableOptions options) {
  options.retention = std::max(options.retention, options.validity);
  return options;
}

/** Returns the longest time from a key's start to its expiry, in seconds. */
std::size_t MaxEntryLifetime(const KeyTableOptions& options) {
  return static_cast<std::size_t>((options.retention + options.max_clock_lead).count());
}

}  // namespace

class KeyTable::Impl {
 public:
  Impl(KeyHolder self, KeyTableOptions options, RandomGenerator& generator)
      : m_self(std::move(self)),
        m_options(WithValidBounds(options)),
        m_seed_high(generator()),
        m_seed_low(generator()),
        m_entries(MaxEntryLifetime(m_options)) {}

  BeginResult Begin(const RequestKey& key, std::uint64_t fingerprint, UnixMicros now_us) {
    Advance(now_us);
    if (const std::optional<KeyRefusal> refusal = CheckHolderAndAge(key)) {
      return *refusal;
    }
    const KeyId id = IdOf(key);
    if (const KeyEntry* entry = m_entries.Find(id)) {
      const ResolveResult result = ResultOf(*entry, fingerprint);
      return std::visit([](const auto& value) { return BeginResult(value); }, result);
    }
    if (AgeOf(key) > m_options.validity.count()) {
      return KeyRefusal::kExpired;
    }
    if (AgeOf(key) < -m_options.max_clock_lead.count()) {
      return KeyRefusal::kNotYetValid;
    }
    if (IsFull()) {
      return KeyRefusal::kTableFull;
    }
    const KeyEntry* entry = Start(id, key, fingerprint);
    return KeyStarted{{id.high, id.low, entry->serial}};
  }

  ResolveResult ResolveForPeer(const RequestKey& key, std::uint64_t fingerprint,
                               UnixMicros now_us) {
    Advance(now_us);
    if (const std::optional<KeyRefusal> refusal = CheckHolderAndAge(key)) {
      return *refusal;
    }
    const KeyId id = IdOf(key);
    if (const KeyEntry* entry = m_entries.Find(id)) {
      return ResultOf(*entry, fingerprint);
    }
    if (AgeOf(key) > m_options.validity.count()) {
      return KeyRefusal::kExpired;
    }
    if (AgeOf(key) < -m_options.max_clock_lead.count() ||
        m_entries.Size() >= m_options.max_entries) {
      return KeyRefusal::kNotBarred;
    }
    Start(id, key, fingerprint)->state = KeyState::kRefused;
    return KeyRefusal::kRefused;
  }

  bool FinishDone(const KeyTicket& ticket, StoredResponse response) {
    KeyEntry* entry = FindRunning(ticket);
    if (entry == nullptr) {
      return false;
    }
    const bool fits =
        m_entries.ResponseBytes() + ResponseSize(response) <= m_options.max_response_bytes;
    entry->state = fits ? KeyState::kDone : KeyState::kUnknown;
    if (fits) {
      m_entries.SetResponse(entry, std::make_shared<const StoredResponse>(std::move(response)));
    }
    return true;
  }

  bool FinishAs(const KeyTicket& ticket, KeyState state) {
    KeyEntry* entry = FindRunning(ticket);
    if (entry == nullptr) {
      return false;
    }
    entry->state = state;
    return true;
  }

  bool Release(const KeyTicket& ticket) {
    KeyEntry* entry = FindRunning(ticket);
    if (entry == nullptr) {
      return false;
    }
    m_entries.Remove(entry);
    return true;
  }

  /** Advances the table's time, never backwards, and removes expired entries. */
  void Advance(UnixMicros now_us) {
    m_now_s = std::max(m_now_s, now_us / kMicrosPerSecond);
    m_entries.Expire(m_now_s);
  }

  const KeyEntries& Entries() const noexcept { return m_entries; }

 private:
  KeyId IdOf(const RequestKey& key) const {
    const std::string text = key.Text();
    return {HashBytes(text, m_seed_high), HashBytes(text, m_seed_low)};
  }

  std::int64_t AgeOf(const RequestKey& key) const noexcept { return m_now_s - key.issued_unix_s; }

  std::optional<KeyRefusal> CheckHolderAndAge(const RequestKey& key) const {
    if (key.holder.vm != m_self.vm) {
      return KeyRefusal::kOtherHolder;
    }
    if (key.holder.incarnation != m_self.incarnation) {
      return KeyRefusal::kLost;
    }
    // Entries expire at this same age, so a younger key that is absent was never started.
    if (AgeOf(key) >= m_options.retention.count()) {
      return KeyRefusal::kRetentionEnded;
    }
    return std::nullopt;
  }

  bool IsFull() const noexcept {
    return m_entries.Size() >= m_options.max_entries ||
           m_entries.ResponseBytes() >= m_options.max_response_bytes;
  }

  KeyEntry* Start(const KeyId& id, const RequestKey& key, std::uint64_t fingerprint) {
    KeyEntry* entry = m_entries.Insert(id, key.issued_unix_s + m_options.retention.count());
    entry->fingerprint = fingerprint;
    entry->serial = m_next_serial++;
    return entry;
  }

  static ResolveResult ResultOf(const KeyEntry& entry, std::uint64_t fingerprint) {
    if (entry.fingerprint != fingerprint) {
      return KeyRefusal::kReused;
    }
    switch (entry.state) {
      case KeyState::kRunning:
        return KeyRefusal::kInProgress;
      case KeyState::kDone:
        return KeyReplay{entry.response};
      case KeyState::kUnknown:
        return KeyRefusal::kOutcomeUnknown;
      case KeyState::kRefused:
        return KeyRefusal::kRefused;
    }
    return KeyRefusal::kOutcomeUnknown;
  }

  KeyEntry* FindRunning(const KeyTicket& ticket) {
    KeyEntry* entry = m_entries.Find({ticket.id_high, ticket.id_low});
    const bool is_current =
        entry != nullptr && entry->serial == ticket.serial && entry->state == KeyState::kRunning;
    return is_current ? entry : nullptr;
  }

  KeyHolder m_self;
  KeyTableOptions m_options;
  std::uint64_t m_seed_high;
  std::uint64_t m_seed_low;
  std::uint64_t m_next_serial = 1;
  /** Latest time seen, in seconds since the Unix epoch. */
  std::int64_t m_now_s = 0;
  KeyEntries m_entries;
};

KeyTable::KeyTable(KeyHolder self, KeyTableOptions options, RandomGenerator& generator)
    : m_impl(std::make_unique<Impl>(std::move(self), options, generator)) {}

KeyTable::~KeyTable() = default;

BeginResult KeyTable::Begin(const RequestKey& key, std::uint64_t fingerprint, UnixMicros now_us) {
  return m_impl->Begin(key, fingerprint, now_us);
}

bool KeyTable::FinishDone(const KeyTicket& ticket, StoredResponse response) {
  return m_impl->FinishDone(ticket, std::move(response));
}

bool KeyTable::FinishUnknown(const KeyTicket& ticket) {
  return m_impl->FinishAs(ticket, KeyState::kUnknown);
}

bool KeyTable::ReleaseNotRun(const KeyTicket& ticket) { return m_impl->Release(ticket); }

bool KeyTable::RefuseNotRun(const KeyTicket& ticket) {
  return m_impl->FinishAs(ticket, KeyState::kRefused);
}

ResolveResult KeyTable::ResolveForPeer(const RequestKey& key, std::uint64_t fingerprint,
                                       UnixMicros now_us) {
  return m_impl->ResolveForPeer(key, fingerprint, now_us);
}

void KeyTable::Expire(UnixMicros now_us) { m_impl->Advance(now_us); }

std::size_t KeyTable::Size() const noexcept { return m_impl->Entries().Size(); }

std::size_t KeyTable::ResponseBytes() const noexcept { return m_impl->Entries().ResponseBytes(); }

}  // namespace qh::idempotency
