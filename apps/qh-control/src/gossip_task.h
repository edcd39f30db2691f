#pragma once

#include <memory>
#include <string>
#include <vector>

#include "control_context.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/membership/gossip_planner.h"
#include "quetzalhinge/membership/member_table.h"

namespace qh::control {

/** Hears what other VMs gossip. */
class GossipObserver {
 public:
  virtual ~GossipObserver() = default;

  /** A message of `peer` came; its revision was the newest it knew at `observed_at`. */
  virtual void OnPeerHeard(const membership::MemberRecord& peer, TimePoint observed_at) = 0;

  /** A notice is news here. */
  virtual void OnFreshNotice(const membership::Notice& notice) = 0;

  /** Members are new, changed, or silent. */
  virtual void OnMembersChanged() = 0;
};

/** Owns the gossip socket, the member table and the notice board. */
class GossipTask {
 public:
  /** All arguments must outlive the task. */
  GossipTask(ControlContext& context, GossipObserver& observer);
  ~GossipTask();
  GossipTask(const GossipTask&) = delete;
  GossipTask& operator=(const GossipTask&) = delete;

  /** Binds the socket and starts to gossip. */
  Result<Success> Start();

  /** Sets the gossip addresses of the platform's list; the settings' seeds are kept beside them. */
  void SetListedPeers(const std::vector<IpEndpoint>& peers);

  /** Sets the own state; a change is told to some peers at once. */
  void SetOwnState(membership::MemberState state, const std::string& entry_incarnation);

  /** Sets the newest contract revision known here; a change is told to some peers at once. */
  void SetOwnRevision(std::uint64_t revision);

  /** Posts a notice of this VM and forwards it at once if it is news. Returns whether it is. */
  bool Post(const membership::Notice& notice);

  const membership::MemberTable& Members() const noexcept;

  /** Returns the notices in force. */
  std::vector<membership::Notice> Notices() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
