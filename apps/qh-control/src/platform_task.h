#pragma once

#include <functional>
#include <memory>

#include "contract_acceptance.h"
#include "contract_table_reader.h"
#include "control_context.h"
#include "quetzalhinge/platform/platform_client.h"

namespace qh::control {

/** Receives the results of reads from the platform. */
class PlatformObserver {
 public:
  virtual ~PlatformObserver() = default;

  /** The VM list was read. */
  virtual void OnVmList(const platform::VmList& list) = 0;

  /** The head was read: `newest` was the platform's newest revision at or after `requested_at`. */
  virtual void OnHead(contract::Revision newest, TimePoint requested_at) = 0;
};

/**
 * Owns the connections to the platform. Periodically reads the VM list and the head, which is the
 * table row with the newest contract revision.
 */
class PlatformTask {
 public:
  /** `context` and `observer` must outlive the task. */
  PlatformTask(ControlContext& context, PlatformObserver& observer);
  ~PlatformTask();
  PlatformTask(const PlatformTask&) = delete;
  PlatformTask& operator=(const PlatformTask&) = delete;

  /** Reads the VM list and the head immediately and then periodically. */
  void Start();

  /** Reads the head immediately, unless a read is in progress. For renewing a confirmation. */
  void ReadHeadNow();

  /** Reads the contract changes after `revision`; see ContractTableReader::ReadSince(). */
  void ReadContractsSince(contract::Revision revision, contract::Revision newest,
                          ContractTableReader::UpdateCallback callback);

  /** Reads a customer's changes; see ContractTableReader::ReadHistory(). */
  void ReadHistory(const std::string& customer, ContractTableReader::HistoryCallback callback);

  /** Submits a command; see ContractAcceptance::Start(). */
  void Submit(ContractCommand command, ContractAcceptance::Callback callback);

  /** Copies the traffic counters of the platform client to the metrics. */
  void UpdateMetrics();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/**
 * Returns the interval between two reads of the head: vm_count / 10 seconds, but at least 1 s and
 * at most 30 s. Within these limits all VMs together read the head about ten times per second.
 */
std::chrono::milliseconds HeadInterval(int vm_count);

/**
 * Returns the interval between two reads of the VM list: at least `configured`, and long enough to
 * limit these reads to 2 KiB/s. The byte budget of qh-control is 11 KB/s in total (design 1.7).
 */
std::chrono::milliseconds VmListInterval(std::chrono::milliseconds configured,
                                         std::size_t vm_list_bytes);

}  // namespace qh::control
