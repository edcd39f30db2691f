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

/** This VM holds the key and has just started it: the call may run. */
using KeyBegun = idempotency::KeyStarted;

/** How a call with a key continues: it runs, replays a stored response, or fails with an error. */
using KeyDecision = std::variant<KeyBegun, idempotency::KeyReplay, CallError>;

/** Decides whether calls with keys may run. Keys that another VM holds are resolved at that VM. */
class KeyService {
 public:
  KeyService(const vm_settings::EntryVmSettings& settings, std::uint64_t incarnation,
             const auth::MessageAuthenticator& authenticator, RandomGenerator& generator);

  /** Sets how other VMs are looked up and contacted; both must outlive the service. */
  void SetPeers(const AddressBook& addresses, PeerLink& peers);

  /** Decides on a call; `callback` runs immediately, or later if another VM holds the key. */
  void Begin(const CallRequest& call, const std::function<void(KeyDecision)>& callback);

  /** Resolves a key of this VM for another VM that received it. */
  idempotency::ResolveResult ResolveForPeer(const std::string& key, std::uint64_t fingerprint);

  /** Returns the table, in which started keys must be finished. */
  idempotency::KeyTable& Table() noexcept { return m_table; }

  /** Returns the authority that issues key prefixes and verifies keys. */
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
