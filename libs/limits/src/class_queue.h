#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/limits/admission_queue.h"

namespace qh::limits {

/** Place of a request among those of its customer: latest start, then order of arrival. */
using QueuePlace = std::pair<TimePoint, std::uint64_t>;

/** Returns when a request has to start so that it finishes by its deadline. */
inline TimePoint LatestStart(const QueuedRequest& request) noexcept {
  return request.deadline - request.expected_work;
}

/**
 * The queued requests of one priority class. Customers take turns by start-time fair queueing: the
 * next request comes from the customer that has been given the least expected work.
 */
class ClassQueue {
 public:
  /** Adds a request at the place (LatestStart(request), sequence). */
  void Add(QueuedRequest request, std::uint64_t sequence);

  /** Takes the request that is due next; nothing if there is none. */
  std::optional<QueuedRequest> TakeNext();

  /** Takes the last request of the customer with the most requests; the class is not empty. */
  QueuedRequest TakeLastOfLargest();

  /** Takes one request out; returns false if it is not there. */
  bool Remove(const std::string& customer, const QueuePlace& place);

  /** Moves the requests whose latest start is before `now` to `expired`. */
  void RemoveExpired(TimePoint now, std::vector<QueuedRequest>& expired);

  /** Returns how many requests would be served before `request`. */
  std::size_t CountAhead(const QueuedRequest& request) const;

  /** Returns how many requests the customer has queued. */
  std::size_t SizeOf(const std::string& customer) const;

  /** Returns the number of requests of the customer that has the most. */
  std::size_t LargestSize() const;

  /** Returns the number of requests. */
  std::size_t Size() const noexcept { return m_size; }

 private:
  struct Customer {
    std::map<QueuePlace, QueuedRequest> requests;
    /** Expected work in seconds up to which this customer has been served. */
    double served = 0;
  };
  using Customers = std::map<std::string, Customer>;

  QueuedRequest Take(Customers::iterator customer,
                     std::map<QueuePlace, QueuedRequest>::iterator request);

  Customers m_customers;
  /** The `served` value of the customer served last; where new customers start. */
  double m_turn = 0;
  std::size_t m_size = 0;
};

}  // namespace qh::limits
