#include "class_queue.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>

namespace qh::limits {
namespace {

// Requests with unknown or negligible expected work still advance the start tag.
constexpr double kMinWorkSeconds = 0.001;

double WorkSeconds(const QueuedRequest& request) noexcept {
  return std::max(kMinWorkSeconds, std::chrono::duration<double>(request.expected_work).count());
}

}  // namespace

void ClassQueue::Add(QueuedRequest request, std::uint64_t sequence) {
  const auto [customer, is_new] = m_customers.try_emplace(request.customer);
  if (is_new) {
    customer->second.start_tag = m_virtual_time;
  }
  const QueueSortKey sort_key{LatestStart(request), sequence};
  customer->second.requests.emplace(sort_key, std::move(request));
  ++m_size;
}

std::optional<QueuedRequest> ClassQueue::PopNext() {
  const auto next = std::min_element(
      m_customers.begin(), m_customers.end(),
      [](const auto& a, const auto& b) { return a.second.start_tag < b.second.start_tag; });
  if (next == m_customers.end()) {
    return std::nullopt;
  }
  m_virtual_time = next->second.start_tag;
  next->second.start_tag += WorkSeconds(next->second.requests.begin()->second);
  return Extract(next, next->second.requests.begin());
}

QueuedRequest ClassQueue::PopLastOfLargestCustomer() {
  const auto largest =
      std::max_element(m_customers.begin(), m_customers.end(), [](const auto& a, const auto& b) {
        return a.second.requests.size() < b.second.requests.size();
      });
  return Extract(largest, std::prev(largest->second.requests.end()));
}

bool ClassQueue::Remove(const std::string& customer, const QueueSortKey& sort_key) {
  const auto owner = m_customers.find(customer);
  if (owner == m_customers.end()) {
    return false;
  }
  const auto request = owner->second.requests.find(sort_key);
  if (request == owner->second.requests.end()) {
    return false;
  }
  Extract(owner, request);
  return true;
}

void ClassQueue::RemoveExpired(TimePoint now, std::vector<QueuedRequest>& expired) {
  for (auto customer = m_customers.begin(); customer != m_customers.end();) {
    const auto current = customer++;
    std::size_t left = current->second.requests.size();
    while (left > 0 && current->second.requests.begin()->first.first < now) {
      // Extract() erases the customer with its last request, so the number of requests left is
      // tracked here.
      expired.push_back(Extract(current, current->second.requests.begin()));
      --left;
    }
  }
}

std::size_t ClassQueue::CountAhead(const QueuedRequest& request) const {
  std::size_t same_customer_ahead = 0;
  const auto same_customer = m_customers.find(request.customer);
  if (same_customer != m_customers.end()) {
    const auto& requests = same_customer->second.requests;
    const auto end_of_ahead = requests.upper_bound(QueueSortKey{LatestStart(request), UINT64_MAX});
    same_customer_ahead = static_cast<std::size_t>(std::distance(requests.begin(), end_of_ahead));
  }
  // Fair queueing serves each other customer about as many requests before this one.
  std::size_t ahead = same_customer_ahead;
  for (const auto& [name, customer] : m_customers) {
    if (name != request.customer) {
      ahead += std::min(customer.requests.size(), same_customer_ahead + 1);
    }
  }
  return ahead;
}

std::size_t ClassQueue::CustomerSize(const std::string& customer) const {
  const auto found = m_customers.find(customer);
  return found == m_customers.end() ? 0 : found->second.requests.size();
}

std::size_t ClassQueue::LargestCustomerSize() const {
  std::size_t largest = 0;
  for (const auto& [name, customer] : m_customers) {
    largest = std::max(largest, customer.requests.size());
  }
  return largest;
}

QueuedRequest ClassQueue::Extract(Customers::iterator customer,
                                  std::map<QueueSortKey, QueuedRequest>::iterator request) {
  QueuedRequest extracted = std::move(request->second);
  customer->second.requests.erase(request);
  if (customer->second.requests.empty()) {
    m_customers.erase(customer);
  }
  --m_size;
  return extracted;
}

}  // namespace qh::limits
