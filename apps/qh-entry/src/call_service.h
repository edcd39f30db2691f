#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "address_book.h"
#include "call_error.h"
#include "call_request.h"
#include "customer_table.h"
#include "event_log.h"
#include "key_service.h"
#include "quetzalhinge/contract/contract_book.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/limits/admission_queue.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/timer.h"
#include "worker_pool.h"

namespace qh::entry {

class CallTask;

/** Components shared by all calls of this process. All members outlive the calls. */
struct CallContext {
  net::EventLoop& loop;
  const vm_settings::EntryVmSettings& settings;
  contract::ContractBook& book;
  CustomerTable& customers;
  WorkerPool& workers;
  KeyService& keys;
  EventLog& events;
  metrics::MetricsRegistry& metrics;
  RandomGenerator& generator;
};

/** State of the service; decides whether calls are accepted, before their contract is checked. */
enum class ServiceState { kNotReady, kServing, kDraining, kStopped };

/** Serves callers: address queries and calls. Owns the queues in which calls wait for workers. */
class CallService {
 public:
  CallService(CallContext context, const AddressBook& addresses);
  ~CallService();
  CallService(const CallService&) = delete;
  CallService& operator=(const CallService&) = delete;

  /** Handles one request; the response is sent immediately or later. */
  void Handle(const std::shared_ptr<http::HttpExchange>& exchange);

  /** Returns the response to a request that the HTTP server refused, and counts the refusal. */
  http::HttpResponse BadInputResponse(http::Refusal refusal);

  /** Sets the state. While draining, responses ask callers to switch to another VM. */
  void SetState(ServiceState state) noexcept { m_state = state; }

  /** Returns the state. */
  ServiceState State() const noexcept { return m_state; }

  /** Returns the number of calls without a response so far. */
  std::size_t InProgress() const noexcept { return m_open_calls.size(); }

  /** Stops the service and responds to all calls in progress with what is known of them. */
  void RespondBeforeStop();

  /**
   * If this VM is draining or stopped, adds the header x-qh-refresh and closes the connection after
   * the response.
   */
  void MarkIfDraining(http::HttpResponse& response) const;

  // Used by CallTask.

  /** Queues a call until a worker accepts it. The call is refused if it cannot wait. */
  void Enqueue(const std::shared_ptr<CallTask>& task);

  /** Returns whether calls of this service and class are waiting for a worker. */
  bool HasWaitingCalls(const std::string& service, routing::WorkClass work_class) const;

  /** Returns the error for a new call, or nullopt if the state allows new calls. */
  std::optional<CallError> CheckState() const;

  /** Returns the shared components. */
  CallContext& Context() noexcept { return m_context; }

  /** Counts a response by its outcome and code. */
  void CountCall(Outcome outcome, const char* code);

  /** Removes a call from the calls in progress. */
  void OnCallFinished(const CallTask& task) noexcept { m_open_calls.erase(&task); }

 private:
  /**
   * Key of the queue of one service and work class. Each class has its own queue, so that long
   * calls without a worker do not block short ones.
   */
  struct QueueKey {
    std::string service;
    routing::WorkClass work_class;
    auto operator<=>(const QueueKey&) const = default;
  };

  void HandleCall(const std::shared_ptr<http::HttpExchange>& exchange);
  void HandleAddresses(const std::shared_ptr<http::HttpExchange>& exchange);
  void Refuse(const std::shared_ptr<http::HttpExchange>& exchange, const CallError& error);
  limits::AdmissionQueue& GetOrCreateQueue(const QueueKey& key);
  void Dispatch(const std::string& service);
  void DispatchQueue(const QueueKey& key, limits::AdmissionQueue& queue);
  void RefuseExpired();
  void RefuseQueued(const limits::QueuedRequest& request, limits::QueueDecision decision,
                    Duration retry_after);
  std::shared_ptr<CallTask> RemoveWaiting(std::uint64_t id);

  CallContext m_context;
  const AddressBook& m_addresses;
  ServiceState m_state = ServiceState::kNotReady;
  std::map<const CallTask*, std::weak_ptr<CallTask>> m_open_calls;
  std::map<QueueKey, std::unique_ptr<limits::AdmissionQueue>> m_queues;
  std::map<std::uint64_t, std::shared_ptr<CallTask>> m_waiting;
  net::Timer m_expiry_timer;
};

}  // namespace qh::entry
