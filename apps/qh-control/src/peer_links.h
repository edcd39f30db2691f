#pragma once

#include <kj/async.h>

#include <memory>

#include "control_context.h"
#include "processes.capnp.h"
#include "quetzalhinge/messages/contract_messages.h"

namespace qh::control {

/** Connections to the qh-control of other entry VMs, opened on demand and closed when idle. */
class PeerLinks {
 public:
  explicit PeerLinks(ControlContext& context);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /** Fetches the contract changes after `revision` from a peer. Fails after kPeerTimeout. */
  kj::Promise<messages::ContractUpdate> FetchContracts(const IpEndpoint& peer,
                                                       contract::Revision revision);

  /**
   * Requests a loan of a part of the peer's share of a customer's rate. Fails after kPeerTimeout.
   */
  kj::Promise<capnp::Response<rpc::wire::ControlPeer::BorrowResults>> Borrow(
      const IpEndpoint& peer, capnp::Text::Reader customer,
      rpc::wire::BorrowRequest::Reader request);

  /** Fetches a peer's latest list of workers. Fails after kPeerTimeout. */
  kj::Promise<capnp::Response<rpc::wire::ControlPeer::WorkersResults>> FetchWorkers(
      const IpEndpoint& peer);

  /** Time limit for a response; after a time-out the connection is closed. */
  static constexpr std::chrono::milliseconds kPeerTimeout{1000};

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
