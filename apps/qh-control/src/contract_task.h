#pragma once

#include <functional>
#include <optional>
#include <string>

#include "control_context.h"
#include "peer_links.h"
#include "platform_task.h"
#include "quetzalhinge/contract/contract_book.h"

namespace qh::control {

/** Hears of changes of the contract book. */
class ContractObserver {
 public:
  virtual ~ContractObserver() = default;

  /** The book has a new revision, or a newer one was heard of. */
  virtual void OnContractsChanged() = 0;
};

/** What a peer says of its revision. */
struct PeerRevision {
  IpEndpoint control_rpc;
  contract::Revision newest = 0;
  /** Whether the peer counts as a confirmation: it serves, so it has read contracts itself. */
  bool confirms = false;
  /** A moment at which the statement was still true. */
  TimePoint observed_at;
};

/** Owns the contract book: fetches what it lacks, and has operators' commands accepted. */
class ContractTask {
 public:
  /** All arguments must outlive the task. */
  ContractTask(ControlContext& context, PlatformTask& platform, PeerLinks& peers,
               ContractObserver& observer);

  const contract::ContractBook& Book() const noexcept { return m_book; }

  /** Takes the platform's head into account; fetches what is missing. */
  void OnHead(contract::Revision newest, TimePoint requested_at);

  /** Takes a peer's revision into account; fetches what is missing, from that peer first. */
  void OnPeerRevision(const PeerRevision& peer);

  /** Has a command accepted and applies the change. */
  void Submit(ContractCommand command, ContractAcceptance::Callback callback);

 private:
  void Confirm(contract::Revision newest, TimePoint observed_at);
  void FetchIfBehind();
  void FetchFromPeer(const IpEndpoint& peer);
  void FetchFromPlatform();
  void OnFetched(const Result<messages::ContractUpdate>& update, bool from_peer);
  bool ApplyUpdate(const contract::ChangesAnswer& changes);
  void ApplyChange(const contract::ContractChange& change);
  void ApplyAccepted(const contract::ContractChange& change);

  ControlContext& m_context;
  PlatformTask& m_platform;
  PeerLinks& m_peers;
  ContractObserver& m_observer;
  contract::ContractBook m_book;
  /** The last peer that had a newer revision; asked before the platform. */
  std::optional<IpEndpoint> m_newer_peer;
  bool m_fetching = false;
  /** The newest statement on the newest revision, kept until the book has reached it. */
  contract::Revision m_observed_revision = 0;
  TimePoint m_observed_at{};
};

}  // namespace qh::control
