#pragma once

#include <functional>
#include <memory>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/gateway/worker_links.h"
#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::gateway {

/**
 * Finds requests that crash workers. A connection that breaks is not yet a crash: answers get lost
 * too. The worker is therefore probed on a new connection; only if it does not answer, the requests
 * that were in progress there become suspects.
 */
class CrashWatch {
 public:
  /** Called with notices for the other VMs. */
  using PostNotice = std::function<void(const membership::Notice& notice)>;

  /** The loop and the links must outlive the watch. */
  CrashWatch(net::EventLoop& loop, WorkerLinks& links, PostNotice post_notice);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /** A request is sent to `worker`. */
  void OnSent(const std::string& worker, quarantine::Fingerprint fingerprint);

  /** The request has ended there without its connection breaking. */
  void OnEnded(const std::string& worker, quarantine::Fingerprint fingerprint, bool succeeded);

  /** The connection to `worker` broke while the request was in progress. */
  void OnConnectionBroken(const std::string& worker, quarantine::Fingerprint fingerprint);

  /** Learns from another VM. */
  void OnNotice(const membership::Notice& notice);

  /** Returns how long a request is still kept from running; nothing if it may run. */
  std::optional<Duration> QuarantineLeft(quarantine::Fingerprint fingerprint) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
