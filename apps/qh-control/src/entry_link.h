#pragma once

#include <kj/async.h>
#include <kj/string.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control_context.h"
#include "processes.capnp.h"
#include "quetzalhinge/contract/contract_book.h"
#include "quetzalhinge/membership/member_record.h"
#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::control {

/** Receives events of the qh-entry of this VM. */
class EntryObserver {
 public:
  virtual ~EntryObserver() = default;

  /** The entry has attached. It has no state yet and needs the view and all notices. */
  virtual void OnEntryAttached() = 0;

  /**
   * The entry attached, detached, reported a status, or became ready or not ready because its
   * responses resumed or timed out.
   */
  virtual void OnEntryChanged() = 0;

  /** The entry has published a notice for all VMs. */
  virtual void OnEntryNotice(const membership::Notice& notice) = 0;
};

/** Entry VMs (this one and the active members) and workers, as sent to the entry. */
struct EntryView {
  std::vector<membership::MemberRecord> members;
  std::vector<platform::VmRecord> workers;
};

/** Latest status reported by the entry. */
struct EntryReport {
  /** Number of calls in progress. */
  std::uint32_t in_progress = 0;
  /** Whether the entry can serve calls. */
  bool ready = false;
  bool draining = false;
};

/**
 * Owns the session with the qh-entry of this VM. Pushes contracts, views and notices to the entry,
 * and periodically the age of the latest confirmation of the contract book.
 */
class EntryLink {
 public:
  /** All arguments must outlive the link. */
  EntryLink(ControlContext& context, const contract::ContractBook& book, EntryObserver& observer);
  ~EntryLink();
  EntryLink(const EntryLink&) = delete;
  EntryLink& operator=(const EntryLink&) = delete;

  /** Starts a session that replaces any earlier one. Returns the session number. */
  std::uint64_t Attach(std::uint64_t incarnation, rpc::wire::EntryAgent::Client agent);

  /** Ends the session; has no effect if a newer session has replaced it. */
  void Detach(std::uint64_t session);

  /** Handles a status report; ignored if a newer session has replaced `session`. */
  void HandleStatus(std::uint64_t session, rpc::wire::EntryStatus::Reader status);

  /** Forwards a notice published by the entry to the observer; ignores a malformed one. */
  void HandleNotice(rpc::wire::Notice::Reader notice);

  /** Sends the entry the contract changes it does not have yet. */
  void PushContracts();

  /**
   * Sends the view to the entry, subject to a minimum interval, unless it differs from the last one
   * only in heartbeats and revisions.
   */
  void PushView(const EntryView& view);

  /** Sends a notice to the entry, if one is attached. */
  void PushNotice(const membership::Notice& notice);

  /** Requests a graceful shutdown of the entry, if one is attached. */
  void Drain();

  /**
   * Requests a loan of a part of the entry's share of the customer's rate. Fails if no entry is
   * attached or the entry does not respond within 500 ms.
   */
  kj::Promise<capnp::Response<rpc::wire::EntryAgent::LendResults>> Lend(
      capnp::Text::Reader customer, rpc::wire::BorrowRequest::Reader request);

  /**
   * Returns the matching events of the entry as a JSON array. Returns "[]" if no entry is attached
   * or the request fails or times out.
   */
  kj::Promise<kj::String> Timeline(const std::string& filter_json);

  bool IsAttached() const noexcept;

  /** Returns whether the entry is attached, responsive, ready and not draining. */
  bool IsReady() const noexcept;

  /** Returns the latest report; default values if no entry is attached. */
  const EntryReport& Report() const noexcept;

  /** Returns the incarnation of the attached entry in hex, as in member records, or "" if none. */
  std::string Incarnation() const;

  /** Returns the contract revision that the entry has applied; 0 if none is attached. */
  contract::Revision EntryRevision() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
