#include "call_service.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "call_task.h"

namespace qh::entry {
namespace {

using std::chrono::milliseconds;

/** Pause before a request for which there was no memory is sent again; other VMs may have some. */
constexpr milliseconds kMemoryRetryAfter{250};

CallError ToCallError(http::Refusal refusal) {
  switch (refusal) {
    case http::Refusal::kAmbiguousFraming:
      return {
          CallErrorCode::kAmbiguousFraming, "the length of the body can be read in two ways", {}};
    case http::Refusal::kHeadTooLarge:
      return {CallErrorCode::kHeadersTooLarge, "the head has too many bytes or fields", {}};
    case http::Refusal::kBodyTooLarge:
      return {CallErrorCode::kBodyTooLarge, "the body is longer than this VM takes", {}};
    case http::Refusal::kTimedOut:
      return {CallErrorCode::kRequestTimeout, "the request was not sent in time", {}};
    case http::Refusal::kNoMemory:
      return {CallErrorCode::kOverloaded, "this VM has no memory for the request now",
              kMemoryRetryAfter};
    case http::Refusal::kMalformed:
      break;
  }
  return {CallErrorCode::kMalformedRequest, "the request is not HTTP/1.1", {}};
}

/** Interval of the check for waiting calls that can no longer meet their deadline. */
constexpr milliseconds kExpiryInterval{10};

/** Order in which the queues of the classes are served. */
constexpr std::array<routing::WorkClass, routing::kWorkClasses> kDispatchOrder{
    routing::WorkClass::kShort, routing::WorkClass::kUnknown, routing::WorkClass::kLong};

nlohmann::json ToJson(const CallerAddress& address) {
  return {{"ip", address.endpoint.ip},
          {"port", address.endpoint.port},
          {"zone", address.zone},
          {"vm", address.vm},
          {"key_prefix", address.key_prefix}};
}

}  // namespace

CallService::CallService(CallContext context, const AddressBook& addresses)
    : m_context(context),
      m_addresses(addresses),
      m_expiry_timer(context.loop, [this] { RefuseExpired(); }) {
  m_context.workers.SetCapacityCallback([this](const std::string& service) { Dispatch(service); });
  m_expiry_timer.StartRepeating(kExpiryInterval);
}

CallService::~CallService() = default;

void CallService::Handle(const std::shared_ptr<http::HttpExchange>& exchange) {
  const std::string_view path = http::PathOnly(exchange->Request().path);
  if (path == "/v1/addresses") {
    HandleAddresses(exchange);
  } else if (path.starts_with("/svc/")) {
    HandleCall(exchange);
  } else {
    Refuse(exchange, {CallErrorCode::kUnknownPath, "known paths: /v1/addresses, /svc/", {}});
  }
}

void CallService::MarkIfDraining(http::HttpResponse& response) const {
  if (m_state == ServiceState::kDraining || m_state == ServiceState::kStopped) {
    response.headers.push_back({"x-qh-refresh", "1"});
    response.close_connection = true;
  }
}

void CallService::HandleCall(const std::shared_ptr<http::HttpExchange>& exchange) {
  std::variant<CallRequest, CallError> parsed = ParseCallRequest(*exchange);
  if (const auto* error = std::get_if<CallError>(&parsed)) {
    Refuse(exchange, *error);
    return;
  }
  const auto task =
      std::make_shared<CallTask>(*this, exchange, std::get<CallRequest>(std::move(parsed)));
  m_open_calls.emplace(task.get(), task);
  task->Begin();
}

void CallService::RespondBeforeStop() {
  SetState(ServiceState::kStopped);
  // Removed first, because the end of a call at a worker would start a call that waits for one.
  // Kept until the end of this function, because the queue owns these calls.
  const auto waiting = std::exchange(m_waiting, {});
  m_queues.clear();
  const auto open_calls = m_open_calls;
  for (const auto& [key, call] : open_calls) {
    if (const std::shared_ptr<CallTask> task = call.lock()) {
      task->RespondBeforeStop();
    }
  }
}

std::optional<CallError> CallService::CheckState() const {
  switch (m_state) {
    case ServiceState::kNotReady:
      return CallError{CallErrorCode::kNotReady, "this VM does not take calls yet", {}};
    case ServiceState::kStopped:
      return CallError{CallErrorCode::kShuttingDown, "this VM is stopping", {}};
    case ServiceState::kServing:
    case ServiceState::kDraining:
      break;
  }
  return std::nullopt;
}

void CallService::HandleAddresses(const std::shared_ptr<http::HttpExchange>& exchange) {
  const std::string& path = exchange->Request().path;
  AddressQuery query;
  query.service = http::QueryParameter(path, "service").value_or("");
  query.customer = http::QueryParameter(path, "customer").value_or("");
  query.zone = http::QueryParameter(path, "zone").value_or("");
  query.caller_ip = exchange->PeerIp();
  if (query.customer.empty()) {
    Refuse(exchange, {CallErrorCode::kMissingCustomer, "the parameter customer is required", {}});
    return;
  }
  const std::shared_ptr<const contract::Contract> contract = m_context.book.Find(query.customer);
  if (contract == nullptr) {
    const bool contracts_confirmed = m_context.book.IsConfirmed(m_context.loop.Now());
    Refuse(exchange,
           {contracts_confirmed ? CallErrorCode::kUnknownCustomer : CallErrorCode::kNotReady,
            "no contract for this customer",
            {}});
    return;
  }
  if (contract->FindService(query.service) == nullptr) {
    Refuse(exchange,
           {CallErrorCode::kUnknownService, "the contract does not have this service", {}});
    return;
  }
  nlohmann::json addresses = nlohmann::json::array();
  for (const CallerAddress& address : m_addresses.AddressesFor(query, UnixNow())) {
    addresses.push_back(ToJson(address));
  }
  const nlohmann::json body{{"service", query.service},
                            {"customer", query.customer},
                            {"ttl_ms", m_context.settings.address_ttl.count()},
                            {"revision", m_context.book.CurrentRevision()},
                            {"addresses", std::move(addresses)}};
  m_context.metrics.CounterOf("qh_address_answers_total").Add();
  exchange->Respond({200, {{"content-type", "application/json"}}, body.dump(), false});
}

void CallService::Refuse(const std::shared_ptr<http::HttpExchange>& exchange,
                         const CallError& error) {
  CountCall(OutcomeOf(error.code), ToString(error.code));
  http::HttpResponse response = ToResponse(error, MakeRandomId(m_context.generator));
  MarkIfDraining(response);
  // After ambiguous framing, the following bytes on the connection cannot be trusted.
  if (error.code == CallErrorCode::kAmbiguousFraming) {
    response.close_connection = true;
  }
  exchange->Respond(std::move(response));
}

http::HttpResponse CallService::BadInputResponse(http::Refusal refusal) {
  const CallError error = ToCallError(refusal);
  CountCall(OutcomeOf(error.code), ToString(error.code));
  return ToResponse(error, MakeRandomId(m_context.generator));
}

void CallService::CountCall(Outcome outcome, const char* code) {
  m_context.metrics
      .CounterOf("qh_calls_total",
                 "outcome=\"" + std::string(ToString(outcome)) + "\",code=\"" + code + "\"")
      .Add();
}

void CallService::Enqueue(const std::shared_ptr<CallTask>& task) {
  const limits::QueuedRequest request = task->ToQueuedRequest();
  const QueueKey key{task->Service(), task->WorkClass()};
  const limits::PushResult result = GetOrCreateQueue(key).Push(request, m_context.loop.Now());
  if (result.displaced.has_value()) {
    RefuseQueued(*result.displaced, limits::QueueDecision::kFull, result.retry_after);
  }
  m_waiting.emplace(request.id, task);
  if (result.decision != limits::QueueDecision::kQueued) {
    RefuseQueued(request, result.decision, result.retry_after);
  }
}

bool CallService::HasWaitingCalls(const std::string& service, routing::WorkClass work_class) const {
  const auto found = m_queues.find({service, work_class});
  return found != m_queues.end() && found->second->Size() > 0;
}

limits::AdmissionQueue& CallService::GetOrCreateQueue(const QueueKey& key) {
  std::unique_ptr<limits::AdmissionQueue>& queue = m_queues[key];
  if (queue == nullptr) {
    queue = std::make_unique<limits::AdmissionQueue>(
        static_cast<std::size_t>(std::max(1, m_context.settings.queue_length)));
  }
  return *queue;
}

void CallService::Dispatch(const std::string& service) {
  for (const routing::WorkClass work_class : kDispatchOrder) {
    const auto found = m_queues.find({service, work_class});
    if (found != m_queues.end()) {
      DispatchQueue(found->first, *found->second);
    }
  }
}

void CallService::DispatchQueue(const QueueKey& key, limits::AdmissionQueue& queue) {
  while (queue.Size() > 0) {
    const std::optional<std::string> worker =
        m_context.workers.Select(key.service, key.work_class, {});
    if (!worker.has_value()) {
      return;
    }
    const limits::PopResult popped = queue.Pop(m_context.loop.Now());
    for (const limits::QueuedRequest& expired : popped.expired) {
      RefuseQueued(expired, limits::QueueDecision::kCannotMeetDeadline, {});
    }
    if (popped.next.has_value()) {
      if (const std::shared_ptr<CallTask> task = RemoveWaiting(popped.next->id)) {
        task->StartAttemptAt(*worker);
      }
    }
  }
}

void CallService::RefuseExpired() {
  for (auto& [key, queue] : m_queues) {
    for (const limits::QueuedRequest& expired : queue->RemoveExpired(m_context.loop.Now())) {
      RefuseQueued(expired, limits::QueueDecision::kCannotMeetDeadline, {});
    }
  }
}

void CallService::RefuseQueued(const limits::QueuedRequest& request, limits::QueueDecision decision,
                               Duration retry_after) {
  if (const std::shared_ptr<CallTask> task = RemoveWaiting(request.id)) {
    const bool full = decision == limits::QueueDecision::kFull;
    task->RefuseFromQueue(
        {full ? CallErrorCode::kOverloaded : CallErrorCode::kQueueDeadline,
         full ? "too many calls wait for this service" : "the deadline cannot be met",
         std::chrono::ceil<milliseconds>(retry_after)});
  }
}

std::shared_ptr<CallTask> CallService::RemoveWaiting(std::uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return nullptr;
  }
  std::shared_ptr<CallTask> task = std::move(found->second);
  m_waiting.erase(found);
  return task;
}

}  // namespace qh::entry
