#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "event_log.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/limits/concurrency_limit.h"
#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/quarantine/crash_suspects.h"
#include "quetzalhinge/routing/route_classifier.h"
#include "quetzalhinge/routing/worker_selector.h"
#include "quetzalhinge/routing/worker_table.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::entry {

/** A worker as the platform's VM list names it. */
struct ListedWorker {
  routing::WorkerInfo info;
  bool leaving = false;
};

/** One attempt of a call at one worker. */
struct AttemptRequest {
  std::string worker;
  http::HttpRequest request;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds timeout{0};
  routing::Route route;
  routing::RouteProfile profile;
  std::size_t max_response_bytes = 0;
  /** Whether an idle connection must not be used, because it may be silent. */
  bool new_connection = false;
};

/** How an attempt ended. */
enum class AttemptEnd {
  /** A whole response that belongs to the request. */
  kAnswered,
  /** The worker said that it did not run the request. */
  kShed,
  /** No connection was established. */
  kNotConnected,
  /** The request may have run. */
  kFailed,
  kTimedOut,
  /** The response was cut, too long, or belonged to another request. */
  kInvalidResponse,
};

/** The end of an attempt, with the response if it is kAnswered or kShed. */
struct AttemptResult {
  AttemptEnd end = AttemptEnd::kFailed;
  http::HttpResponse response;
  Error error;
  Duration latency{};
};

/**
 * The workers of all services and the connections to them. Learns the workers' state and load from
 * what it sees, and tells others what they should know.
 */
class WorkerPool {
 public:
  using NoticePublisher = std::function<void(const membership::Notice&)>;
  using AttemptCallback = std::function<void(AttemptResult)>;

  WorkerPool(net::EventLoop& loop, const vm_settings::EntryVmSettings& settings,
             metrics::MetricsRegistry& metrics, EventLog& events, RandomGenerator& generator);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /** Sets who spreads notices to the other VMs. */
  void SetNoticePublisher(NoticePublisher publisher);

  /** Sets what runs when a worker of `service` may take a request again. */
  void SetCapacityCallback(std::function<void(const std::string& service)> callback);

  /** Applies the platform's list; workers that are not in it are gone. */
  void ApplyList(const std::vector<ListedWorker>& listed);

  /** Applies a notice of another VM about a worker or a request that crashes workers. */
  void ApplyNotice(const membership::Notice& notice);

  /** Returns whether any worker of `service` is known, in whatever state. */
  bool HasService(const std::string& service) const;

  /** Returns whether a worker of `service` is live. */
  bool HasLiveWorker(const std::string& service) const;

  /** Returns the id of the worker for a request, or nothing if none may take it now. */
  std::optional<std::string> Select(const std::string& service, routing::WorkClass work_class,
                                    std::span<const std::string> excluded);

  /**
   * Starts an attempt at a worker that Select() returned in the same round of the loop.
   * @return the number for CancelAttempt()
   */
  std::uint64_t StartAttempt(AttemptRequest request, AttemptCallback callback);

  /** Closes the connection of an attempt, which tells the worker to stop; no callback follows. */
  void CancelAttempt(std::uint64_t number);

  /** Returns how much longer `fingerprint` is under quarantine; nothing if it may run. */
  std::optional<Duration> QuarantineLeft(std::uint64_t fingerprint) const;

  /** Returns what is known about the route's latency and class. */
  routing::RouteProfile ProfileOf(const routing::Route& route) const;

  /** Returns the number of attempts in progress. */
  std::size_t InProgress() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::entry
