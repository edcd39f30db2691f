#include "class_queue.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>

namespace qh::limits {
namespace {

// Work of unknown or negligible length still takes a turn.
constexpr double kLeastWorkSeconds = 0.001;

double WorkSeconds(const QueuedRequest& request) noexcept {
  return std::max(kLeastWorkSeconds, std::chrono::duration<double>(request.expected_work).count());
}

}  // namespace

void ClassQueue::Add(QueuedRequest request, std::uint64_t sequence) {
  const auto [customer, is_new] = m_customers.try_emplace(request.customer);
  if (is_new) {
    customer->second.served = m_turn;
  }
  const QueuePlace place{LatestStart(request), sequence};
  customer->second.requests.emplace(place, std::move(request));
  ++m_size;
}

std::optional<QueuedRequest> ClassQueue::TakeNext() {
  const auto next = std::min_element(
      m_customers.begin(), m_customers.end(),
      [](const auto& a, const auto& b) { return a.second.served < b.second.served; });
  if (next == m_customers.end()) {
    return std::nullopt;
  }
  m_turn = next->second.served;
  next->second.served += WorkSeconds(next->second.requests.begin()->second);
  return Take(next, next->second.requests.begin());
}

QueuedRequest ClassQueue::TakeLastOfLargest() {
  const auto largest =
      std::max_element(m_customers.begin(), m_customers.end(), [](const auto& a, const auto& b) {
        return a.second.requests.size() < b.second.requests.size();
      });
  return Take(largest, std::prev(largest->second.requests.end()));
}

bool ClassQueue::Remove(const std::string& customer, const QueuePlace& place) {
  const auto owner = m_customers.find(customer);
  if (owner == m_customers.end()) {
    return false;
  }
  const auto request = owner->second.requests.find(place);
  if (request == owner->second.requests.end()) {
    return false;
  }
  Take(owner, request);
  return true;
}

void ClassQueue::RemoveExpired(TimePoint now, std::vector<QueuedRequest>& expired) {
  for (auto customer = m_customers.begin(); customer != m_customers.end();) {
    const auto current = customer++;
    std::size_t left = current->second.requests.size();
    while (left > 0 && current->second.requests.begin()->first.first < now) {
      // The last Take() removes the customer, so `left` is counted here.
      expired.push_back(Take(current, current->second.requests.begin()));
      --left;
    }
  }
}

std::size_t ClassQueue::CountAhead(const QueuedRequest& request) const {
  std::size_t own_ahead = 0;
  const auto own = m_customers.find(request.customer);
  if (own != m_customers.end()) {
    const auto& requests = own->second.requests;
    const auto behind = requests.upper_bound(QueuePlace{LatestStart(request), UINT64_MAX});
    own_ahead = static_cast<std::size_t>(std::distance(requests.begin(), behind));
  }
  // Customers take turns: each other one is served about as often before this request.
  std::size_t ahead = own_ahead;
  for (const auto& [name, customer] : m_customers) {
    if (name != request.customer) {
      ahead += std::min(customer.requests.size(), own_ahead + 1);
    }
  }
  return ahead;
}

std::size_t ClassQueue::SizeOf(const std::string& customer) const {
  const auto found = m_customers.find(customer);
  return found == m_customers.end() ? 0 : found->second.requests.size();
}

std::size_t ClassQueue::LargestSize() const {
  std::size_t largest = 0;
  for (const auto& [name, customer] : m_customers) {
    largest = std::max(largest, customer.requests.size());
  }
  return largest;
}

QueuedRequest ClassQueue::Take(Customers::iterator customer,
                               std::map<QueuePlace, QueuedRequest>::iterator request) {
  QueuedRequest taken = std::move(request->second);
  customer->second.requests.erase(request);
  if (customer->second.requests.empty()) {
    m_customers.erase(customer);
  }
  --m_size;
  return taken;
}

}  // namespace qh::limits
