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

/** Sort key of a request among those of its customer: latest start time, then order of arrival. */
using QueueSortKey = std::pair<TimePoint, std::uint64_t>;

/** Returns the latest time at which a request can start and still finish by its deadline. */
inline TimePoint LatestStart(const QueuedRequest& request) noexcept {
  return request.deadline - request.expected_work;
}

/**
 * The queued requests of one priority class. Customers are scheduled by start-time fair queueing:
 * the next request is of the customer with the smallest start tag, that is with the least expected
 * work served so far.
 */
class ClassQueue {
 public:
  /** Adds a request with the sort key (LatestStart(request), sequence). */
  void Add(QueuedRequest request, std::uint64_t sequence);

  /** Removes and returns the next request to serve; std::nullopt if the class is empty. */
  std::optional<QueuedRequest> PopNext();

  /**
   * Removes and returns the last request of the customer with the most requests. The class must not
   * be empty.
   */
  QueuedRequest PopLastOfLargestCustomer();

  /** Removes one request; returns false if it is not queued. */
  bool Remove(const std::string& customer, const QueueSortKey& sort_key);

  /** Moves the requests whose latest start is before `now` to `expired`. */
  void RemoveExpired(TimePoint now, std::vector<QueuedRequest>& expired);

  /** Returns the estimated number of requests that would be served before `request`. */
  std::size_t CountAhead(const QueuedRequest& request) const;

  /** Returns the number of requests that the customer has queued. */
  std::size_t CustomerSize(const std::string& customer) const;

  /** Returns the number of requests of the customer with the most requests. */
  std::size_t LargestCustomerSize() const;

  std::size_t Size() const noexcept { return m_size; }

 private:
  struct Customer {
    std::map<QueueSortKey, QueuedRequest> requests;
    /** Virtual start time of the customer's next request, in seconds of expected work. */
    double start_tag = 0;
  };
  using Customers = std::map<std::string, Customer>;

  QueuedRequest Extract(Customers::iterator customer,
                        std::map<QueueSortKey, QueuedRequest>::iterator request);

  Customers m_customers;
  /** Start tag of the request served last; the initial start tag of new customers. */
  double m_virtual_time = 0;
  std::size_t m_size = 0;
};

}  // namespace qh::limits
