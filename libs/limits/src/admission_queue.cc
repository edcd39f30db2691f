#include "quetzalhinge/limits/admission_queue.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

#include "class_queue.h"
#include "quetzalhinge/base/enum_table.h"

namespace qh::limits {
namespace {

constexpr EnumTable<QueueDecision, 3> kDecisionNames{{{
    {QueueDecision::kQueued, "queued"},
    {QueueDecision::kFull, "overloaded"},
    {QueueDecision::kCannotMeetDeadline, "queue_deadline"},
}}};

constexpr std::size_t kClassCount = 3;
// The average interval adapts to a change within about 10 requests.
constexpr int kDequeueIntervalSamples = 10;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

constexpr std::size_t IndexOf(PriorityClass priority) noexcept {
  return static_cast<std::size_t>(priority);
}

}  // namespace

const char* ToString(QueueDecision decision) noexcept { return kDecisionNames.NameOf(decision); }

struct AdmissionQueue::Impl {
  struct Location {
    PriorityClass priority;
    std::string customer;
    QueueSortKey sort_key;
  };

  explicit Impl(std::size_t max_requests) noexcept
      : capacity(std::max<std::size_t>(1, max_requests)) {}

  Duration EstimateWait(const QueuedRequest& request) const;
  std::optional<QueuedRequest> DisplaceFor(const QueuedRequest& request);
  void Add(QueuedRequest request, TimePoint now);
  void UpdateDequeueInterval(TimePoint now) noexcept;
  std::vector<QueuedRequest> RemoveExpired(TimePoint now);

  std::size_t capacity;
  std::array<ClassQueue, kClassCount> classes;
  std::unordered_map<std::uint64_t, Location> locations;
  std::uint64_t next_sequence = 0;
  /** Average interval between Pop() calls while requests are queued; 0 until the first sample. */
  Duration dequeue_interval{};
  /** Time of the last Pop(), or of a later arrival at the empty queue. */
  TimePoint interval_start;
};

Duration AdmissionQueue::Impl::EstimateWait(const QueuedRequest& request) const {
  std::size_t ahead = classes[IndexOf(request.priority)].CountAhead(request);
  for (std::size_t higher = 0; higher < IndexOf(request.priority); ++higher) {
    ahead += classes[higher].Size();
  }
  return dequeue_interval * static_cast<Duration::rep>(ahead);
}

/**
 * Removes and returns the queued request that `request` displaces (see AdmissionQueue), or
 * std::nullopt if it may displace none.
 */
std::optional<QueuedRequest> AdmissionQueue::Impl::DisplaceFor(const QueuedRequest& request) {
  const std::size_t request_class = IndexOf(request.priority);
  std::size_t displaced_class = kClassCount - 1;
  while (displaced_class > request_class && classes[displaced_class].Size() == 0) {
    --displaced_class;
  }
  // Within a class, the other customer must still have at least as many requests as this one
  // afterwards.
  if (displaced_class == request_class &&
      classes[request_class].LargestCustomerSize() <
          classes[request_class].CustomerSize(request.customer) + 2) {
    return std::nullopt;
  }
  QueuedRequest displaced = classes[displaced_class].PopLastOfLargestCustomer();
  locations.erase(displaced.id);
  return displaced;
}

void AdmissionQueue::Impl::Add(QueuedRequest request, TimePoint now) {
  if (locations.empty()) {
    interval_start = std::max(interval_start, now);
  }
  const std::uint64_t sequence = next_sequence++;
  const QueueSortKey sort_key{LatestStart(request), sequence};
  ClassQueue& queue = classes[IndexOf(request.priority)];
  locations[request.id] = Location{request.priority, request.customer, sort_key};
  queue.Add(std::move(request), sequence);
}

/**
 * Updates the average interval when a request is removed by Pop(). A request that is alone in the
 * queue contributes the time that it waited. The average thus recovers after a stall even if early
 * refusals keep the queue nearly empty.
 */
void AdmissionQueue::Impl::UpdateDequeueInterval(TimePoint now) noexcept {
  const Duration sample = std::max(Duration(0), now - interval_start);
  dequeue_interval = dequeue_interval == Duration(0)
                         ? sample
                         : dequeue_interval + (sample - dequeue_interval) / kDequeueIntervalSamples;
  interval_start = std::max(interval_start, now);
}

std::vector<QueuedRequest> AdmissionQueue::Impl::RemoveExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (ClassQueue& queue : classes) {
    queue.RemoveExpired(now, expired);
  }
  for (const QueuedRequest& request : expired) {
    locations.erase(request.id);
  }
  return expired;
}

AdmissionQueue::AdmissionQueue(std::size_t capacity) : m_impl(std::make_unique<Impl>(capacity)) {}

AdmissionQueue::~AdmissionQueue() = default;

PushResult AdmissionQueue::Push(QueuedRequest request, TimePoint now) {
  const Duration wait = m_impl->EstimateWait(request);
  if (now + wait > LatestStart(request)) {
    return {QueueDecision::kCannotMeetDeadline, std::max(kMinRetryAfter, wait), std::nullopt};
  }
  PushResult result;
  if (Size() >= m_impl->capacity) {
    result.displaced = m_impl->DisplaceFor(request);
    if (!result.displaced) {
      const Duration drain = m_impl->dequeue_interval * static_cast<Duration::rep>(Size());
      return {QueueDecision::kFull, std::max(kMinRetryAfter, drain), std::nullopt};
    }
  }
  m_impl->Add(std::move(request), now);
  return result;
}

PopResult AdmissionQueue::Pop(TimePoint now) {
  PopResult result;
  result.expired = m_impl->RemoveExpired(now);
  for (ClassQueue& queue : m_impl->classes) {
    result.next = queue.PopNext();
    if (result.next) {
      m_impl->locations.erase(result.next->id);
      m_impl->UpdateDequeueInterval(now);
      break;
    }
  }
  return result;
}

std::vector<QueuedRequest> AdmissionQueue::RemoveExpired(TimePoint now) {
  return m_impl->RemoveExpired(now);
}

bool AdmissionQueue::Remove(std::uint64_t id) {
  const auto found = m_impl->locations.find(id);
  if (found == m_impl->locations.end()) {
    return false;
  }
  const Impl::Location location = std::move(found->second);
  m_impl->locations.erase(found);
  return m_impl->classes[IndexOf(location.priority)].Remove(location.customer, location.sort_key);
}

std::size_t AdmissionQueue::Size() const noexcept { return m_impl->locations.size(); }

}  // namespace qh::limits
