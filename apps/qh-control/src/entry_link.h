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

/** Hears what the qh-entry of this VM does. */
class EntryObserver {
 public:
  virtual ~EntryObserver() = default;

  /** The entry has attached and knows nothing yet: it needs the view and the notices. */
  virtual void OnEntryAttached() = 0;

  /** The entry attached, detached or reported another status, or stopped answering. */
  virtual void OnEntryChanged() = 0;

  /** The entry has news for all VMs. */
  virtual void OnEntryNotice(const membership::Notice& notice) = 0;
};

/** What the entry is told of the other VMs and of the workers. */
struct EntryView {
  std::vector<membership::MemberRecord> members;
  std::vector<platform::VmRecord> workers;
};

/** Last status that the entry reported. */
struct EntryReport {
  std::uint32_t in_progress = 0;
  bool ready = false;
  bool draining = false;
};

/** Owns the session with the qh-entry of this VM: brings it contracts, confirmations and news. */
class EntryLink {
 public:
  /** All arguments must outlive the link. */
  EntryLink(ControlContext& context, const contract::ContractBook& book, EntryObserver& observer);
  ~EntryLink();
  EntryLink(const EntryLink&) = delete;
  EntryLink& operator=(const EntryLink&) = delete;

  /** Starts a session, which replaces an earlier one. Returns its number. */
  std::uint64_t Attach(std::uint64_t incarnation, rpc::wire::EntryAgent::Client agent);

  /** Ends the session, unless another one has replaced it. */
  void Detach(std::uint64_t session);

  /** Takes a status of the session. */
  void HandleStatus(std::uint64_t session, rpc::wire::EntryStatus::Reader status);

  /** Takes a notice of the entry. */
  void HandleNotice(rpc::wire::Notice::Reader notice);

  /** Brings the entry what it lacks of the book. */
  void PushContracts();

  /** Brings the entry the view, if it differs from the last one in more than heartbeats. */
  void PushView(const EntryView& view);

  void PushNotice(const membership::Notice& notice);

  /** Tells the entry to begin its graceful shutdown. */
  void Drain();

  /** Asks the entry for a loan; nothing is granted if none is attached. */
  kj::Promise<capnp::Response<rpc::wire::EntryAgent::LendResults>> Lend(
      capnp::Text::Reader customer, rpc::wire::BorrowRequest::Reader request);

  /** Asks the entry for its events, as JSON array; "[]" if none is attached or it is silent. */
  kj::Promise<kj::String> Timeline(const std::string& filter_json);

  bool IsAttached() const noexcept;

  /** Returns whether the entry is attached, answers, and has reported itself ready. */
  bool IsReady() const noexcept;

  /** Returns the last report. */
  const EntryReport& Report() const noexcept;

  /** Returns the incarnation of the attached entry as in member records; empty if there is none. */
  std::string Incarnation() const;

  /** Returns the revision that the entry has in force. */
  contract::Revision EntryRevision() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
