#pragma once

#include <functional>
#include <memory>

#include "contract_acceptance.h"
#include "contract_table_reader.h"
#include "control_context.h"
#include "quetzalhinge/platform/platform_client.h"

namespace qh::control {

/** Hears what the platform says. */
class PlatformObserver {
 public:
  virtual ~PlatformObserver() = default;

  /** The VM list was read. */
  virtual void OnVmList(const platform::VmList& list) = 0;

  /** `newest` was the platform's head at a moment not before `requested_at`. */
  virtual void OnHead(contract::Revision newest, TimePoint requested_at) = 0;
};

/** Owns the connections to the platform; reads the VM list and the head at their intervals. */
class PlatformTask {
 public:
  /** `context` and `observer` must outlive the task. */
  PlatformTask(ControlContext& context, PlatformObserver& observer);
  ~PlatformTask();
  PlatformTask(const PlatformTask&) = delete;
  PlatformTask& operator=(const PlatformTask&) = delete;

  /** Starts to read the list and the head, both at once. */
  void Start();

  /** Reads the head now, unless it is being read; for a VM whose confirmation grows old. */
  void ReadHeadNow();

  /** Reads what a book at `revision` lacks; see ContractTableReader::ReadSince(). */
  void ReadContractsSince(contract::Revision revision, contract::Revision newest,
                          ContractTableReader::UpdateCallback callback);

  /** Reads the changes of one customer, oldest first. */
  void ReadHistory(const std::string& customer, ContractTableReader::HistoryCallback callback);

  /** Has a command accepted. */
  void Submit(ContractCommand command, ContractAcceptance::Callback callback);

  /** Copies the traffic with the platform to the metrics. */
  void UpdateMetrics();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/**
 * Returns the time between two reads of the head: vm_count / 10 seconds within [1 s, 30 s], so that
 * all VMs together read about ten times a second.
 */
std::chrono::milliseconds HeadInterval(int vm_count);

/**
 * Returns the time between two reads of the VM list: at least `configured`, and long enough that
 * the list takes 2 KiB a second of control's byte budget (11 KB a second, design 1.7).
 */
std::chrono::milliseconds VmListInterval(std::chrono::milliseconds configured,
                                         std::size_t vm_list_bytes);

}  // namespace qh::control
