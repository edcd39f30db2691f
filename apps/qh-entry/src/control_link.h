#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "address_book.h"
#include "customer_table.h"
#include "quetzalhinge/contract/contract_book.h"
#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/rpc/kj_event_loop.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"
#include "worker_pool.h"

namespace qh::entry {

/** Status of this qh-entry, which qh-control passes on to the other VMs. */
struct EntryReport {
  std::uint32_t in_progress = 0;
  /** Contract revision in force. */
  contract::Revision revision = 0;
  bool ready = false;
  bool draining = false;
};

/** Receives the messages that qh-control sends to this qh-entry. */
class ControlListener {
 public:
  virtual ~ControlListener() = default;

  /** Applies contract changes; returns the revision in force afterwards. */
  virtual contract::Revision OnContracts(contract::ChangesAnswer changes) = 0;

  /** Applies the view of entry VMs and workers. */
  virtual void OnView(std::vector<EntryVm> vms, const std::vector<ListedWorker>& workers) = 0;

  /** Applies a notice from another VM. */
  virtual void OnNotice(const membership::Notice& notice) = 0;

  /** Records that `revision` was the newest one `age` ago. */
  virtual void OnConfirmation(contract::Revision revision, Duration age) = 0;

  /** Decides on another VM's request for a loan. */
  virtual std::optional<limits::LoanGrant> OnBorrow(const std::string& customer,
                                                    const limits::BorrowRequest& request) = 0;

  /** Applies a loan that another VM has granted. */
  virtual void OnGrant(const std::string& customer, const limits::LoanGrant& grant) = 0;

  /** Starts a graceful shutdown. */
  virtual void OnDrain() = 0;

  /** Returns the events that match `filter_json` as a JSON array (see ParseEventFilter()). */
  virtual std::string OnTimeline(const std::string& filter_json) = 0;
};

/** The connection to the qh-control of this VM. After a loss, reconnects at intervals of 100 ms. */
class ControlLink {
 public:
  ControlLink(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
              std::uint64_t incarnation, ControlListener& listener);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /** Starts to connect and attach. */
  void Start();

  /** Returns whether qh-entry is attached to qh-control. */
  bool IsAttached() const noexcept;

  /** Sends the status of qh-entry; discarded if not attached. */
  void ReportStatus(const EntryReport& report);

  /** Sends a notice to the other VMs; discarded if not attached. */
  void Publish(const membership::Notice& notice);

  /** Requests a loan; a grant arrives by ControlListener::OnGrant(). Discarded if not attached. */
  void RequestLoan(const CustomerBorrowRequest& request);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::entry
