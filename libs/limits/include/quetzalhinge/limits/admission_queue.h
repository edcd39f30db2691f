#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/** Priority of a customer's requests. Higher classes are always served first. */
enum class PriorityClass { kHigh, kNormal, kLow };

/** A request that is queued until a worker is free. */
struct QueuedRequest {
  /** Assigned by the code that queues the request; unique among the queued requests. */
  std::uint64_t id = 0;
  std::string customer;
  PriorityClass priority = PriorityClass::kNormal;
  TimePoint deadline;
  /** Expected processing time at a worker; 0 if unknown. */
  Duration expected_work{};
};

/** Outcome of AdmissionQueue::Push(). */
enum class QueueDecision { kQueued, kFull, kCannotMeetDeadline };

/** Returns the code reported to callers: "queued", "overloaded" or "queue_deadline". */
const char* ToString(QueueDecision decision) noexcept;

/** Result of AdmissionQueue::Push(). */
struct PushResult {
  QueueDecision decision = QueueDecision::kQueued;
  /** For refusals, the estimated time until the queue has drained enough; 0 otherwise. */
  Duration retry_after{};
  /** A queued request that was removed to make room; the caller must refuse it as kFull. */
  std::optional<QueuedRequest> displaced;
};

/** Result of AdmissionQueue::Pop(). */
struct PopResult {
  /** The request to start now; std::nullopt if the queue is empty. */
  std::optional<QueuedRequest> next;
  /**
   * Removed requests that can no longer finish by their deadline; the caller must refuse them as
   * kCannotMeetDeadline.
   */
  std::vector<QueuedRequest> expired;
};

/**
 * Bounded queue of the requests of one service. Priority classes are served strictly in order.
 * Within a class, fair queueing gives customers equal shares of the expected work, and the requests
 * of a customer are served in order of their latest start time (deadline less expected work). When
 * the queue is full, a new request displaces one of a lower class, or one of a customer of the same
 * class that has more requests queued.
 */
class AdmissionQueue {
 public:
  /** @param capacity maximum number of queued requests, at least 1 */
  explicit AdmissionQueue(std::size_t capacity);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /**
   * Queues a request. Refuses it if the queue is full, or if it would miss its deadline because of
   * the requests ahead of it; the wait is estimated from the recent average interval between Pop()
   * calls.
   */
  PushResult Push(QueuedRequest request, TimePoint now);

  /** Removes and returns the next request. Call it when a worker has a free slot. */
  PopResult Pop(TimePoint now);

  /** Removes and returns all requests that can no longer finish by their deadline. */
  std::vector<QueuedRequest> RemoveExpired(TimePoint now);

  /** Removes a request whose caller has disconnected; returns false if it is not queued. */
  bool Remove(std::uint64_t id);

  std::size_t Size() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::limits
