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
 * Detects requests that crash workers. A broken connection alone does not prove a crash, because
 * responses can also be lost in the network. Therefore the worker is probed on a new connection;
 * only if this probe fails, the requests that were in progress at the worker become suspects.
 */
class CrashWatch {
 public:
  /** Sends a notice to the other VMs. */
  using PostNotice = std::function<void(const membership::Notice& notice)>;

  /** The loop and the links must outlive the watch. */
  CrashWatch(net::EventLoop& loop, WorkerLinks& links, PostNotice post_notice);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /** Records that a request is sent to `worker`. */
  void OnSent(const std::string& worker, quarantine::Fingerprint fingerprint);

  /** Records that the request at `worker` has ended and its connection did not break. */
  void OnEnded(const std::string& worker, quarantine::Fingerprint fingerprint, bool succeeded);

  /** Records that the connection to `worker` broke while the request was in progress. */
  void OnConnectionBroken(const std::string& worker, quarantine::Fingerprint fingerprint);

  /** Applies a notice of another VM. */
  void OnNotice(const membership::Notice& notice);

  /** Returns the remaining quarantine time of a request; std::nullopt if it may run. */
  std::optional<Duration> QuarantineLeft(quarantine::Fingerprint fingerprint) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
