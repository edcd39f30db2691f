#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/** Priority of a customer's requests; a higher class is always served first. */
enum class PriorityClass { kHigh, kNormal, kLow };

/** A request that waits for a worker. */
struct QueuedRequest {
  /** Chosen by the caller, unique among the requests in the queue. */
  std::uint64_t id = 0;
  std::string customer;
  PriorityClass priority = PriorityClass::kNormal;
  TimePoint deadline;
  /** How long the work usually takes; 0 if not known. */
  Duration expected_work{};
};

/** Outcome of AdmissionQueue::Push(). */
enum class QueueDecision { kQueued, kFull, kCannotMeetDeadline };

/** Returns the code that a caller sees: "queued", "overloaded" or "queue_deadline". */
const char* ToString(QueueDecision decision) noexcept;

/** Outcome of AdmissionQueue::Push() with what the caller has to do. */
struct PushResult {
  QueueDecision decision = QueueDecision::kQueued;
  /** For refusals, the estimated time until the queue has drained enough; else 0. */
  Duration retry_after{};
  /** A queued request that had to give way; refuse it as kFull. */
  std::optional<QueuedRequest> displaced;
};

/** Outcome of AdmissionQueue::Pop(). */
struct PopResult {
  /** The request to start now; nothing if the queue is empty. */
  std::optional<QueuedRequest> next;
  /** Requests that can no longer finish by their deadline; refuse them as kCannotMeetDeadline. */
  std::vector<QueuedRequest> expired;
};

/**
 * Bounded queue of a service's requests. Classes are served in order of priority. Within a class,
 * customers get equal parts of the expected work, and each customer's requests are served in the
 * order in which they have to start. A full queue makes room by displacing a request of a lower
 * class, or of a customer of the same class that has more requests queued.
 */
class AdmissionQueue {
 public:
  /** @param capacity largest number of requests held, at least 1 */
  explicit AdmissionQueue(std::size_t capacity);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /**
   * Queues a request, or refuses it if it cannot finish by its deadline behind the requests that
   * would be served first (estimated from the recent pace of Pop()) or if the queue is full.
   */
  PushResult Push(QueuedRequest request, TimePoint now);

  /** Takes the next request. Call it when a worker has room. */
  PopResult Pop(TimePoint now);

  /** Takes out all requests that can no longer finish by their deadline. */
  std::vector<QueuedRequest> RemoveExpired(TimePoint now);

  /** Removes a request whose caller has gone; returns false if it is not queued. */
  bool Remove(std::uint64_t id);

  /** Returns the number of requests queued. */
  std::size_t Size() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::limits
