#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "address_book.h"
#include "call_error.h"
#include "call_request.h"
#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/idempotency/key_table.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::entry {

class PeerLink;

/** The key is held here and has just been started. */
using KeyBegun = idempotency::KeyStarted;

/** What a call with a key may do: run, replay, or be answered with an error. */
using KeyDecision = std::variant<KeyBegun, idempotency::KeyReplay, CallError>;

/** Decides on calls that may run at most once, with the holder of their key if it is another VM. */
class KeyService {
 public:
  KeyService(const vm_settings::EntryVmSettings& settings, std::uint64_t incarnation,
             const auth::MessageAuthenticator& authenticator, RandomGenerator& generator);

  /** Sets where other VMs are found and asked; both must outlive the service. */
  void SetPeers(const AddressBook& addresses, PeerLink& peers);

  /** Decides on a call; `callback` runs at once, or later if another VM has to be asked. */
  void Begin(const CallRequest& call, const std::function<void(KeyDecision)>& callback);

  /** Answers another VM that received a key of this one. */
  idempotency::ResolveResult ResolveForPeer(const std::string& key, std::uint64_t fingerprint);

  /** Returns the table, to finish started keys. */
  idempotency::KeyTable& Table() noexcept { return m_table; }

  /** Returns who may issue and accept keys. */
  const idempotency::RequestKeyAuthority& Authority() const noexcept { return m_authority; }

 private:
  void ResolveAtHolder(const idempotency::RequestKey& key, const CallRequest& call,
                       const std::function<void(KeyDecision)>& callback);

  idempotency::KeyHolder m_local_holder;
  idempotency::RequestKeyAuthority m_authority;
  idempotency::KeyTable m_table;
  const AddressBook* m_addresses = nullptr;
  PeerLink* m_peers = nullptr;
};

}  // namespace qh::entry
