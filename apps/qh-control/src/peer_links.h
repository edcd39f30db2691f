#pragma once

#include <kj/async.h>

#include <memory>

#include "control_context.h"
#include "processes.capnp.h"
#include "quetzalhinge/messages/contract_messages.h"

namespace qh::control {

/** Connections to the qh-control of other entry VMs, opened when needed and kept for a while. */
class PeerLinks {
 public:
  explicit PeerLinks(ControlContext& context);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /** Asks a peer for what a book at `revision` lacks. Fails after kPeerTimeout. */
  kj::Promise<messages::ContractUpdate> FetchContracts(const IpEndpoint& peer,
                                                       contract::Revision revision);

  /** Asks a peer for a part of its entry's share of a customer's rate. Fails after kPeerTimeout. */
  kj::Promise<capnp::Response<rpc::wire::ControlPeer::BorrowResults>> Borrow(
      const IpEndpoint& peer, capnp::Text::Reader customer,
      rpc::wire::BorrowRequest::Reader request);

  /** Asks a peer for the workers of its last list. Fails after kPeerTimeout. */
  kj::Promise<capnp::Response<rpc::wire::ControlPeer::WorkersResults>> FetchWorkers(
      const IpEndpoint& peer);

  /** Longest wait for an answer; a connection that gives none is closed. */
  static constexpr std::chrono::milliseconds kPeerTimeout{1000};

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
