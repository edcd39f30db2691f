#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/time.h"

namespace qh::quarantine {

/** Hash of a request's customer, service, method, path and body. */
using Fingerprint = std::uint64_t;

/** Reports a request that was in progress at a worker when the worker's connections broke. */
struct SuspectNotice {
  Fingerprint fingerprint = 0;
  std::string worker;
  /** Whether it was the only request that the reporting VM had in progress at the worker. */
  bool alone = false;
  /** Time since the connections broke. */
  Duration age{};
};

/** Reports a quarantined request. */
struct QuarantineNotice {
  Fingerprint fingerprint = 0;
  /** Number of consecutive quarantines, from 1; each lasts twice as long as the one before. */
  std::uint32_t times = 1;
  /** Time until the quarantine ends. */
  Duration remaining{};
};

/** Reports that a suspect request has succeeded since its worker was lost. */
struct ClearedNotice {
  Fingerprint fingerprint = 0;
  std::string worker;
  /** Time since the success. */
  Duration age{};
};

/** Findings to send to the other VMs. */
struct CrashFindings {
  std::vector<SuspectNotice> suspects;
  std::vector<QuarantineNotice> quarantined;
  std::vector<ClearedNotice> cleared;
};

/** Time limits and memory bounds of CrashSuspects. */
struct CrashSuspectsOptions {
  /** A request that is a suspect at two workers within this time is quarantined. */
  Duration suspect_window = std::chrono::seconds(60);
  /** Duration of the first quarantine of a request. */
  Duration initial_quarantine = std::chrono::seconds(60);
  /** Upper bound of the duration; also how long an ended quarantine still counts. */
  Duration max_quarantine = std::chrono::minutes(16);
  /**
   * A request that has succeeded within this time becomes a suspect only if it was alone at the
   * worker. Popular requests are in progress at most workers and would otherwise be suspects in
   * every crash.
   */
  Duration success_window = std::chrono::seconds(1);
  /** Maximum number of suspects; the oldest one is evicted first. */
  std::size_t max_suspects = 4096;
  /** Maximum number of quarantines; the one that ends first is evicted first. */
  std::size_t max_quarantines = 1024;
};

/**
 * Detects requests that crash the workers that run them, and quarantines them. Requests are
 * identified by their fingerprints. When a worker crashes, the requests in progress become
 * suspects. A request that is a suspect at two different workers within the window is quarantined,
 * and the other requests in progress at the second crash do not become suspects. If several
 * requests qualify for quarantine and some of them were alone at an earlier crash, only those are
 * quarantined. After a quarantine has ended, one crash with no other request in progress suffices
 * for the next one.
 */
class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options = {});
  ~CrashSuspects();
  CrashSuspects(const CrashSuspects&) = delete;
  CrashSuspects& operator=(const CrashSuspects&) = delete;

  /**
   * Call this once per crash, when a worker has closed or reset a connection with a request in
   * progress; not for planned closes or time-outs.
   * @param in_progress fingerprints of all requests that this VM had in progress at the worker
   * @return the findings to send to the other VMs
   */
  CrashFindings OnWorkerLost(const std::string& worker, const std::vector<Fingerprint>& in_progress,
                             TimePoint now);

  /**
   * Call this for each complete response. A request that succeeds is no longer a suspect.
   * @return the suspicions that end, to send to the other VMs: those that have not seen the
   *     success, such as a VM that starts later, would otherwise count them towards a quarantine
   */
  CrashFindings OnSucceeded(Fingerprint fingerprint, TimePoint now);

  /** Applies a suspect of another VM. Returns the resulting quarantine, to be sent on. */
  std::optional<QuarantineNotice> OnNotice(const SuspectNotice& notice, TimePoint now);

  /** Removes a suspicion after a success at another VM. Crashes after the success still count. */
  void OnNotice(const ClearedNotice& notice, TimePoint now);

  /** Applies a quarantine of another VM. Repeated and older notices have no effect. */
  void OnNotice(const QuarantineNotice& notice, TimePoint now);

  /** Returns the time until the quarantine ends, or std::nullopt if the request may run. */
  std::optional<Duration> QuarantineLeft(Fingerprint fingerprint, TimePoint now) const noexcept;

  /** Returns the number of suspects, for a gauge. */
  std::size_t SuspectCount() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::quarantine
