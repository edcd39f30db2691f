#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/time.h"

namespace qh::quarantine {

/** Hash of customer, service, method, path and body. */
using Fingerprint = std::uint64_t;

/** A fingerprint that was in progress at a worker whose connections broke. */
struct SuspectNotice {
  Fingerprint fingerprint = 0;
  std::string worker;
  /** It was the only one that the reporting VM had in progress there. */
  bool alone = false;
  /** Time since the connections broke. */
  Duration age{};
};

/** A fingerprint under quarantine. */
struct QuarantineNotice {
  Fingerprint fingerprint = 0;
  /** How often it has been quarantined, from 1; the time doubles with each. */
  std::uint32_t times = 1;
  /** Time until the quarantine ends. */
  Duration remaining{};
};

/** A suspect that has succeeded since its worker was lost. */
struct ClearedNotice {
  Fingerprint fingerprint = 0;
  std::string worker;
  /** Time since the success. */
  Duration age{};
};

/** What other VMs should learn. */
struct CrashFindings {
  std::vector<SuspectNotice> suspects;
  std::vector<QuarantineNotice> quarantined;
  std::vector<ClearedNotice> cleared;
};

/** Times and bounds of CrashSuspects. */
struct CrashSuspectsOptions {
  /** Two workers within this time make a quarantine. */
  Duration suspect_window = std::chrono::seconds(60);
  Duration first_quarantine = std::chrono::seconds(60);
  Duration longest_quarantine = std::chrono::minutes(16);
  /**
   * A fingerprint that succeeded this recently is no suspect if others shared the worker: popular
   * requests are in progress everywhere and would be blamed for every crash.
   */
  Duration success_window = std::chrono::seconds(1);
  /** Most suspects kept; beyond it the oldest is forgotten. */
  std::size_t max_suspects = 4096;
  /** Most quarantines kept; beyond it the one that ends first is forgotten. */
  std::size_t max_quarantines = 1024;
};

/**
 * Finds requests that crash the workers that run them, and keeps them from running again. A
 * fingerprint that is a suspect at two different workers within the window is quarantined. If a
 * crash can be explained by a fingerprint that is already a suspect at another worker, the others
 * that were in progress are not blamed; among several such, those that were alone are blamed first.
 */
class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options = {});
  ~CrashSuspects();
  CrashSuspects(const CrashSuspects&) = delete;
  CrashSuspects& operator=(const CrashSuspects&) = delete;

  /**
   * Call once for each broken worker, when it closed or reset a connection with a request in
   * progress; not for planned closes or timeouts.
   * @param in_progress all fingerprints that this VM had in progress at the worker
   * @return what to spread to the other VMs
   */
  CrashFindings OnWorkerLost(const std::string& worker, const std::vector<Fingerprint>& in_progress,
                             TimePoint now);

  /**
   * Call for each complete response: a request that succeeds does not crash its worker.
   * @return the suspicions that this ends, to spread: VMs that have not seen the success, such as
   * one that starts later, would add them up to a quarantine
   */
  CrashFindings OnSucceeded(Fingerprint fingerprint, TimePoint now);

  /** Learns a suspect from another VM; returns a quarantine that follows from it, to spread. */
  std::optional<QuarantineNotice> OnNotice(const SuspectNotice& notice, TimePoint now);

  /** Learns from another VM that a suspect has succeeded; later crashes still count. */
  void OnNotice(const ClearedNotice& notice, TimePoint now);

  /** Learns a quarantine from another VM. Repeats and older news change nothing. */
  void OnNotice(const QuarantineNotice& notice, TimePoint now);

  /** Returns the time until the quarantine ends; nothing if the fingerprint may run. */
  std::optional<Duration> QuarantineLeft(Fingerprint fingerprint, TimePoint now) const noexcept;

  /** Returns the number of fingerprints that are kept as suspects, for a gauge. */
  std::size_t SuspectCount() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::quarantine
