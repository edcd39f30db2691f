#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "processes.capnp.h"
#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/rpc/kj_event_loop.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::control {

/** What the fake entry was told. */
struct EntryRecord {
  std::uint64_t revision = 0;
  std::vector<std::string> customers;
  std::vector<std::string> live_members;
  std::vector<std::string> workers;
  std::vector<membership::Notice> notices;
  std::uint64_t confirmed_revision = 0;
  std::uint64_t confirmations = 0;
  std::uint32_t last_confirmation_age_ms = 0;
  std::uint64_t lend_requests = 0;
  bool draining = false;
};

/** Stands for the qh-entry of a VM in a session with a real qh-control. */
class EntryFake {
 public:
  /** Connects and attaches at once. */
  EntryFake(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
            const std::string& key);
  ~EntryFake();
  EntryFake(const EntryFake&) = delete;
  EntryFake& operator=(const EntryFake&) = delete;

  const EntryRecord& Record() const noexcept;

  bool IsAttached() const noexcept;

  /** Returns the description of the failure to attach; empty if there was none. */
  const std::string& Failure() const noexcept;

  void ReportStatus(bool ready, std::uint32_t in_progress);
  void Publish(const membership::Notice& notice);

  /** Asks the VM at `lender_slot` for a loan of `fraction`; the answer is in LoanedFraction(). */
  void Borrow(std::uint32_t lender_slot, double fraction);

  /** Returns the granted fraction of the last answered Borrow(); negative before an answer. */
  double LoanedFraction() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::control
