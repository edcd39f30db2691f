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
 * The workers of the platform's latest VM list. A VM that starts while the platform is unavailable
 * fetches the workers from a peer instead. It tries again on each gossip message until a peer
 * returns a list.
 */
class WorkerDirectory {
 public:
  /** All arguments must outlive the directory. */
  WorkerDirectory(ControlContext& context, PeerLinks& peers);

  /** Sets the callback for changes of the workers; must be called before the first change. */
  void SetChangeCallback(std::function<void()> callback) { m_on_change = std::move(callback); }

  /** Applies a VM list. Returns notices for the workers that are newly leaving. */
  std::vector<membership::Notice> UpdateFromVmList(const platform::VmList& list);

  /** Fetches the workers from a peer if no list is available and no fetch is in progress. */
  void FetchFromPeerIfUnset(const IpEndpoint& control_rpc);

  /** Returns the workers; std::nullopt before the first list. */
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
