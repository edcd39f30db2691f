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

/** The state of the entry that its qh-control tells the other VMs. */
struct EntryReport {
  std::uint32_t in_progress = 0;
  contract::Revision revision = 0;
  bool ready = false;
  bool draining = false;
};

/** What qh-control asks of the entry. */
class ControlListener {
 public:
  virtual ~ControlListener() = default;

  /** Applies contract changes; returns the revision in force afterwards. */
  virtual contract::Revision OnContracts(contract::ChangesAnswer changes) = 0;

  /** Applies the view of entry VMs and workers. */
  virtual void OnView(std::vector<EntryVm> vms, const std::vector<ListedWorker>& workers) = 0;

  /** Applies a notice of another VM. */
  virtual void OnNotice(const membership::Notice& notice) = 0;

  /** Takes a confirmation of `revision` that was true `age` ago. */
  virtual void OnConfirmation(contract::Revision revision, Duration age) = 0;

  /** Decides on another VM's request for a loan. */
  virtual std::optional<limits::LoanGrant> OnBorrow(const std::string& customer,
                                                    const limits::BorrowRequest& request) = 0;

  /** Takes a loan of another VM. */
  virtual void OnGrant(const std::string& customer, const limits::LoanGrant& grant) = 0;

  /** Starts a graceful shutdown. */
  virtual void OnDrain() = 0;

  /** Returns the events that match the JSON form of a filter. */
  virtual std::string OnTimeline(const std::string& filter_json) = 0;
};

/** The connection to the qh-control of this VM. Attaches again every 100 ms when it is lost. */
class ControlLink {
 public:
  ControlLink(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
              std::uint64_t incarnation, ControlListener& listener);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /** Starts to attach. */
  void Start();

  /** Returns whether the entry is attached. */
  bool IsAttached() const noexcept;

  /** Sends the entry's state; lost if not attached. */
  void ReportStatus(const EntryReport& report);

  /** Spreads a notice to the other VMs; lost if not attached. */
  void Publish(const membership::Notice& notice);

  /** Sends a request for a loan; the answer comes by ControlListener::OnGrant(). */
  void RequestLoan(const CustomerBorrowRequest& request);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::entry
