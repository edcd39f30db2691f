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

/** Receives the events of a GossipTask. */
class GossipObserver {
 public:
  virtual ~GossipObserver() = default;

  /**
   * A message from `peer` was received. Its revision was the newest one known to the peer at
   * `observed_at`.
   */
  virtual void OnPeerMessage(const membership::MemberRecord& peer, TimePoint observed_at) = 0;

  /** A notice from a peer is new to this VM. */
  virtual void OnFreshNotice(const membership::Notice& notice) = 0;

  /** The record of a member is new or changed, or the set of active members has changed. */
  virtual void OnMembersChanged() = 0;

  /** A member has become active, or is no longer active. */
  virtual void OnMemberActiveChanged(const std::string& vm, bool is_active) = 0;

  /** The local state has changed. */
  virtual void OnOwnStateChanged(membership::MemberState state) = 0;
};

/** Settings of a GossipTask. */
struct GossipTaskOptions {
  /** The local record; Start() binds its gossip endpoint. */
  membership::MemberRecord self;
  membership::MemberTableOptions table;
  /** The task sets `envelope_bytes` itself. */
  membership::GossipOptions gossip;
  auth::AuthenticatorOptions authenticator;
  /** Authenticates the datagrams; at least MessageAuthenticator::kMinKeyBytes bytes. */
  std::string deployment_key;
  /** Gossip endpoints to contact in addition to the active members. */
  std::vector<IpEndpoint> seeds;
};

/**
 * Runs the gossip protocol on an event loop: owns the UDP socket, the member table and the notice
 * board.
 */
class GossipTask {
 public:
  /** The loop, the generator, the metrics and the observer must outlive the task. */
  GossipTask(net::EventLoop& loop, RandomGenerator& random, metrics::MetricsRegistry& metrics,
             const GossipTaskOptions& options, GossipObserver& observer);
  ~GossipTask();
  GossipTask(const GossipTask&) = delete;
  GossipTask& operator=(const GossipTask&) = delete;

  /** Binds the socket, runs the first round and schedules the following ones. */
  Result<Success> Start();

  /** Sets the gossip endpoints from the platform's VM list. The seeds from the settings remain. */
  void SetListedPeers(const std::vector<IpEndpoint>& peers);

  /** Sets the number of entry VMs in the deployment, which scales the suspicion time-out. */
  void SetVmCount(std::size_t vm_count);

  /** Sets the local state. A change is sent to some peers immediately. */
  void SetOwnState(membership::MemberState state, const std::string& entry_incarnation);

  /** Sets the newest known revision, which regular rounds send. Lower values are ignored. */
  void SetOwnRevision(std::uint64_t revision);

  /** Like SetOwnRevision(), but also sends a higher revision to some peers immediately. */
  void AnnounceOwnRevision(std::uint64_t revision);

  /**
   * Sends a higher revision of `table` to some peers immediately. Each table has revisions of its
   * own, independent of SetOwnRevision().
   */
  void AnnounceTableRevision(const std::string& table, std::uint64_t revision);

  /** Posts a notice from this VM. If it is new, forwards it immediately and returns true. */
  bool Post(const membership::Notice& notice);

  const membership::MemberTable& Members() const noexcept;

  /** Returns the notices that had not expired at the last round. */
  std::vector<membership::Notice> Notices() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::gossip
