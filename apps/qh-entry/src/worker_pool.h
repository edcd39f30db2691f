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

/** A worker of the platform's VM list. */
struct ListedWorker {
  routing::WorkerInfo info;
  bool leaving = false;
};

/** Parameters of one attempt of a call at one worker. */
struct AttemptRequest {
  std::string worker;
  http::HttpRequest request;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds timeout{0};
  routing::Route route;
  routing::RouteProfile profile;
  std::size_t max_response_bytes = 0;
  /** Whether to open a new connection instead of reusing an idle one, which may be silent. */
  bool new_connection = false;
};

/** How an attempt ended. Only kShed and kNotConnected imply that the request did not run. */
enum class AttemptEnd {
  /** The worker sent a complete response to the request. */
  kAnswered,
  /** The worker reported that it did not run the request. */
  kShed,
  /** No connection was established. */
  kNotConnected,
  /** The connection failed before a response started. */
  kFailed,
  /** No complete response was received within the time-out. */
  kTimedOut,
  /** The response was truncated, too long, or belonged to another request. */
  kInvalidResponse,
};

/** The result of an attempt; `response` is valid for kAnswered and kShed, `error` otherwise. */
struct AttemptResult {
  AttemptEnd end = AttemptEnd::kFailed;
  http::HttpResponse response;
  Error error;
  Duration latency{};
};

/**
 * The workers of all services and the connections to them. Tracks the state and load of the workers
 * from the VM list, notices, response headers and health probes. Publishes notices of leaving
 * workers and of requests that may crash workers.
 */
class WorkerPool {
 public:
  using NoticePublisher = std::function<void(const membership::Notice&)>;
  using AttemptCallback = std::function<void(AttemptResult)>;

  /**
   * All references must outlive the pool.
   * @param message_memory limits the memory for responses
   */
  WorkerPool(net::EventLoop& loop, const vm_settings::EntryVmSettings& settings,
             metrics::MetricsRegistry& metrics, EventLog& events, RandomGenerator& generator,
             std::shared_ptr<http::MemoryBudget> message_memory);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /** Sets the function that sends notices to the other VMs. */
  void SetNoticePublisher(NoticePublisher publisher);

  /** Sets the callback that runs when a worker of `service` may have capacity for a request. */
  void SetCapacityCallback(std::function<void(const std::string& service)> callback);

  /** Applies the platform's VM list. Workers that are missing from it become kGone. */
  void ApplyList(const std::vector<ListedWorker>& listed);

  /** Applies another VM's notice of a leaving worker or of a request that may crash workers. */
  void ApplyNotice(const membership::Notice& notice);

  /** Returns whether any worker of `service` is known, in any state. */
  bool HasService(const std::string& service) const;

  /** Returns whether this VM's subset of the workers of `service` has a live one. */
  bool HasLiveWorker(const std::string& service) const;

  /** Returns the id of the worker for a request, or nullopt if none may accept it now. */
  std::optional<std::string> Select(const std::string& service, routing::WorkClass work_class,
                                    std::span<const std::string> excluded);

  /**
   * Starts an attempt at a worker that Select() returned in the same iteration of the event loop.
   * @return the number of the attempt, for CancelAttempt()
   */
  std::uint64_t StartAttempt(AttemptRequest request, AttemptCallback callback);

  /** Closes an attempt's connection, which signals the worker to stop. Its callback never runs. */
  void CancelAttempt(std::uint64_t number);

  /** Returns the remaining quarantine time of `fingerprint`, or nullopt if it may run. */
  std::optional<Duration> QuarantineLeft(std::uint64_t fingerprint) const;

  /** Returns the work class and the latency statistics of `route`. */
  routing::RouteProfile ProfileOf(const routing::Route& route) const;

  /** Returns the number of attempts in progress. */
  std::size_t InProgress() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::entry
