#pragma once

#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/membership/gossip_planner.h"
#include "quetzalhinge/membership/member_table.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::gossip {

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

  /** A member is heard from (again), or has fallen silent. */
  virtual void OnMemberHeard(const std::string& vm, bool heard) = 0;

  /** The own state has changed. */
  virtual void OnOwnStateChanged(membership::MemberState state) = 0;
};

/** Who gossips, and with whom first. */
struct GossipTaskOptions {
  /** The own record; its gossip endpoint is bound. */
  membership::MemberRecord self;
  membership::MemberTableOptions table;
  /** `envelope_bytes` is set by the task. */
  membership::GossipOptions gossip;
  auth::AuthenticatorOptions authenticator;
  /** Authenticates the datagrams; at least MessageAuthenticator::kMinKeyBytes. */
  std::string deployment_key;
  /** Peers that are asked as long as no member has their endpoint. */
  std::vector<IpEndpoint> seeds;
};

/** Owns the gossip socket, the member table and the notice board. */
class GossipTask {
 public:
  /** The loop, the generator, the metrics and the observer must outlive the task. */
  GossipTask(net::EventLoop& loop, RandomGenerator& random, metrics::MetricsRegistry& metrics,
             const GossipTaskOptions& options, GossipObserver& observer);
  ~GossipTask();
  GossipTask(const GossipTask&) = delete;
  GossipTask& operator=(const GossipTask&) = delete;

  /** Binds the socket and starts to gossip. */
  Result<Success> Start();

  /** Sets the gossip addresses of the platform's list; the settings' seeds are kept beside them. */
  void SetListedPeers(const std::vector<IpEndpoint>& peers);

  /** Sets the number of entry VMs of the deployment, which decides when a silent one is left out.
   */
  void SetVmCount(std::size_t vm_count);

  /** Sets the own state; a change is told to some peers at once. */
  void SetOwnState(membership::MemberState state, const std::string& entry_incarnation);

  /** Sets the newest revision known here; regular rounds carry it. Lower ones are ignored. */
  void SetOwnRevision(std::uint64_t revision);

  /** Does the same and tells some peers of a higher revision at once. */
  void AnnounceOwnRevision(std::uint64_t revision);

  /** Posts a notice of this VM and forwards it at once if it is news. Returns whether it is. */
  bool Post(const membership::Notice& notice);

  const membership::MemberTable& Members() const noexcept;

  /** Returns the notices in force. */
  std::vector<membership::Notice> Notices() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::gossip
