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

/** State and calls that the fake entry has received. */
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

/** Fake qh-entry of a VM, in a session with a qh-control process. */
class EntryFake {
 public:
  /** Starts to connect and attach. `key` is the deployment key for the session code. */
  EntryFake(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
            const std::string& key);
  ~EntryFake();
  EntryFake(const EntryFake&) = delete;
  EntryFake& operator=(const EntryFake&) = delete;

  const EntryRecord& Record() const noexcept;

  bool IsAttached() const noexcept;

  /** Returns the error of a failed attachment; empty if there is none. */
  const std::string& Failure() const noexcept;

  /** Reports a status to qh-control. */
  void ReportStatus(bool ready, std::uint32_t in_progress);

  /** Publishes a notice to qh-control. */
  void Publish(const membership::Notice& notice);

  /** Requests a loan of `fraction` from the VM at `lender_slot`; see LoanedFraction(). */
  void Borrow(std::uint32_t lender_slot, double fraction);

  /** Returns the fraction granted to the last Borrow(); 0 if refused, negative while pending. */
  double LoanedFraction() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::control
