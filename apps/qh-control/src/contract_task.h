#pragma once

#include <functional>
#include <optional>
#include <string>

#include "control_context.h"
#include "peer_links.h"
#include "platform_task.h"
#include "quetzalhinge/contract/contract_book.h"

namespace qh::control {

/** Receives changes of the contract book. */
class ContractObserver {
 public:
  virtual ~ContractObserver() = default;

  /** The book has a new revision, or a newer revision is known to exist. */
  virtual void OnContractsChanged() = 0;
};

/** Contract revision reported by a peer. */
struct PeerRevision {
  IpEndpoint control_rpc;
  /** The newest revision known to the peer. */
  contract::Revision newest = 0;
  /** Whether the report confirms the book: the peer serves, so it has read contracts itself. */
  bool confirms = false;
  /** A time at which the report was still true. */
  TimePoint observed_at;
};

/** Owns the contract book, fetches missing changes and submits operators' commands. */
class ContractTask {
 public:
  /** All arguments must outlive the task. */
  ContractTask(ControlContext& context, PlatformTask& platform, PeerLinks& peers,
               ContractObserver& observer);

  const contract::ContractBook& Book() const noexcept { return m_book; }

  /**
   * Confirms the book against the platform's head and fetches missing changes.
   * @param requested_at when the read of the head was sent
   */
  void OnHead(contract::Revision newest, TimePoint requested_at);

  /** Processes a peer's revision; fetches missing changes, first from that peer if it is ahead. */
  void OnPeerRevision(const PeerRevision& peer);

  /** Submits a command to the platform and, if it is accepted, applies the change. */
  void Submit(ContractCommand command, ContractAcceptance::Callback callback);

 private:
  void Confirm(contract::Revision newest, TimePoint observed_at);
  void FetchIfBehind();
  void FetchFromPeer(const IpEndpoint& peer);
  void FetchFromPlatform();
  void OnFetched(const Result<messages::ContractUpdate>& update, bool from_peer);
  /** Returns whether the revision of the book has advanced. */
  bool ApplyUpdate(const contract::ChangesAnswer& changes);
  void ApplyChange(const contract::ContractChange& change);
  void ApplyAccepted(const contract::ContractChange& change);

  ControlContext& m_context;
  PlatformTask& m_platform;
  PeerLinks& m_peers;
  ContractObserver& m_observer;
  contract::ContractBook m_book;
  /** The last peer that reported a newer revision; tried before the platform. */
  std::optional<IpEndpoint> m_newer_peer;
  bool m_fetching = false;
  /**
   * The highest revision reported by a confirming peer or the platform, and the latest time at
   * which it was the newest. Confirms the book once the book has reached it.
   */
  contract::Revision m_observed_revision = 0;
  TimePoint m_observed_at{};
};

}  // namespace qh::control
