#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "control_context.h"
#include "peer_links.h"
#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::control {

/**
 * The workers of the platform's last list. A VM that starts while the platform is down asks peers
 * for theirs, once each gossip message, until one answers.
 */
class WorkerDirectory {
 public:
  /** All arguments must outlive the directory. */
  WorkerDirectory(ControlContext& context, PeerLinks& peers);

  /** Sets what runs when the workers have changed. */
  void SetChangeCallback(std::function<void()> callback) { m_on_change = std::move(callback); }

  /** Takes a list; returns notices of the workers that it names as leaving for the first time. */
  std::vector<membership::Notice> UpdateFromVmList(const platform::VmList& list);

  /** Takes a peer that could be asked into account. */
  void FetchFromPeerIfUnset(const IpEndpoint& control_rpc);

  /** Returns the workers; nothing before the first list. */
  const std::optional<std::vector<platform::VmRecord>>& Workers() const noexcept {
    return m_workers;
  }

 private:
  bool WasLeaving(const platform::VmRecord& worker) const;
  void Replace(std::vector<platform::VmRecord> workers);

  ControlContext& m_context;
  PeerLinks& m_peers;
  std::function<void()> m_on_change;
  std::optional<std::vector<platform::VmRecord>> m_workers;
  bool m_fetching = false;
};

}  // namespace qh::control
