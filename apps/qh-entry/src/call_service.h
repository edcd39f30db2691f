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

/** What the calls of this process share. All members outlive the calls. */
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

/** Why a call can be refused before its contract is looked at. */
enum class ServiceState { kNotReady, kServing, kDraining, kStopped };

/** Serves callers: address answers and calls. Owns the queues in which calls wait for workers. */
class CallService {
 public:
  CallService(CallContext context, const AddressBook& addresses);
  ~CallService();
  CallService(const CallService&) = delete;
  CallService& operator=(const CallService&) = delete;

  /** Answers one request, now or later. */
  void Handle(const std::shared_ptr<http::HttpExchange>& exchange);

  /** Returns the response to bad input that the server has refused, and counts it. */
  http::HttpResponse BadInputResponse(http::Refusal refusal);

  /** Sets whether calls are taken; kDraining asks callers to look for another VM. */
  void SetState(ServiceState state) noexcept { m_state = state; }

  /** Returns whether calls are taken. */
  ServiceState State() const noexcept { return m_state; }

  /** Returns the number of calls that are not answered yet. */
  std::size_t InProgress() const noexcept { return m_in_progress; }

  /** Adds the fields and flags that a draining VM sends with each response. */
  void MarkIfDraining(http::HttpResponse& response) const;

  // Used by CallTask.

  /** Queues a call for a worker; the call is started or refused later. */
  void Enqueue(const std::shared_ptr<CallTask>& task);

  /** Returns whether calls of this service and class are waiting already. */
  bool HasWaitingCalls(const std::string& service, routing::WorkClass work_class) const;

  /** Returns why no new call is taken now, or nothing. */
  std::optional<CallError> CheckState() const;

  /** Returns what the calls share. */
  CallContext& Context() noexcept { return m_context; }

  /** Counts an answer by its outcome and code. */
  void CountCall(Outcome outcome, const char* code);

  /** Counts a call as answered. */
  void OnCallFinished() noexcept { --m_in_progress; }

 private:
  /** The waiting calls of one service and class. Classes wait apart, so that long work that finds
   * no worker does not hold short work behind it. */
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
  std::size_t m_in_progress = 0;
  std::map<QueueKey, std::unique_ptr<limits::AdmissionQueue>> m_queues;
  std::map<std::uint64_t, std::shared_ptr<CallTask>> m_waiting;
  net::Timer m_expiry_timer;
};

}  // namespace qh::entry
