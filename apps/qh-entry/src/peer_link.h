#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "address_book.h"
#include "quetzalhinge/idempotency/key_table.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/rpc/kj_event_loop.h"
#include "quetzalhinge/rpc/rpc_server.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::entry {

/** Resolves a key of this VM for another VM. */
using KeyResolver =
    std::function<idempotency::ResolveResult(const std::string& key, std::uint64_t fingerprint)>;

/** The connections between the qh-entry processes of different VMs, in both directions. */
class PeerLink {
 public:
  /** Receives the holder's result, or nullopt if the holder failed or did not respond in time. */
  using ResolveCallback = std::function<void(std::optional<idempotency::ResolveResult>)>;

  /** @param limits limits on the connections of others than entry VMs */
  PeerLink(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
           KeyResolver resolver, const rpc::RpcServerLimits& limits);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Starts the server for other VMs. */
  Result<Success> Start();

  /** Returns the server for other VMs, for its counts. */
  const rpc::RpcServer& Server() const noexcept;

  /** Resolves a key at the entry VM `holder`. `callback` runs once, within 500 ms. */
  void ResolveKey(const EntryVm& holder, const std::string& key, std::uint64_t fingerprint,
                  ResolveCallback callback);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::entry
