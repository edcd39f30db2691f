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

constexpr std::size_t kClasses = 3;
// The pace follows a change within about 10 requests.
constexpr int kPaceSamples = 10;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(10);

constexpr std::size_t IndexOf(PriorityClass priority) noexcept {
  return static_cast<std::size_t>(priority);
}

}  // namespace

const char* ToString(QueueDecision decision) noexcept { return kDecisionNames.NameOf(decision); }

struct AdmissionQueue::Impl {
  struct Location {
    PriorityClass priority;
    std::string customer;
    QueuePlace place;
  };

  explicit Impl(std::size_t most) noexcept : capacity(std::max<std::size_t>(1, most)) {}

  Duration ExpectedWait(const QueuedRequest& request) const;
  std::optional<QueuedRequest> MakeRoomFor(const QueuedRequest& request);
  void Add(QueuedRequest request, TimePoint now);
  void LearnPace(TimePoint now) noexcept;
  std::vector<QueuedRequest> RemoveExpired(TimePoint now);

  std::size_t capacity;
  std::array<ClassQueue, kClasses> classes;
  std::unordered_map<std::uint64_t, Location> locations;
  std::uint64_t next_sequence = 0;
  /** Average time between requests taken while some are waiting; 0 until known. */
  Duration pace{};
  /** Last request taken, or arrival at the empty queue if that is later. */
  TimePoint waiting_since;
};

Duration AdmissionQueue::Impl::ExpectedWait(const QueuedRequest& request) const {
  std::size_t ahead = classes[IndexOf(request.priority)].CountAhead(request);
  for (std::size_t higher = 0; higher < IndexOf(request.priority); ++higher) {
    ahead += classes[higher].Size();
  }
  return pace * static_cast<Duration::rep>(ahead);
}

/** Takes out a queued request that has less claim to its place than `request`, if there is one. */
std::optional<QueuedRequest> AdmissionQueue::Impl::MakeRoomFor(const QueuedRequest& request) {
  const std::size_t own = IndexOf(request.priority);
  std::size_t from = kClasses - 1;
  while (from > own && classes[from].Size() == 0) {
    --from;
  }
  // In the same class, the other customer must stay at least as large as this one becomes.
  if (from == own && classes[own].LargestSize() < classes[own].SizeOf(request.customer) + 2) {
    return std::nullopt;
  }
  QueuedRequest displaced = classes[from].TakeLastOfLargest();
  locations.erase(displaced.id);
  return displaced;
}

void AdmissionQueue::Impl::Add(QueuedRequest request, TimePoint now) {
  if (locations.empty()) {
    waiting_since = std::max(waiting_since, now);
  }
  const std::uint64_t sequence = next_sequence++;
  const QueuePlace place{LatestStart(request), sequence};
  ClassQueue& queue = classes[IndexOf(request.priority)];
  locations[request.id] = Location{request.priority, request.customer, place};
  queue.Add(std::move(request), sequence);
}

/**
 * Learns from a request that is taken now. A single request counts with the time it waited, so that
 * the pace recovers after a stall even if early refusals keep the queue nearly empty.
 */
void AdmissionQueue::Impl::LearnPace(TimePoint now) noexcept {
  const Duration sample = std::max(Duration(0), now - waiting_since);
  pace = pace == Duration(0) ? sample : pace + (sample - pace) / kPaceSamples;
  waiting_since = std::max(waiting_since, now);
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
  const Duration wait = m_impl->ExpectedWait(request);
  if (now + wait > LatestStart(request)) {
    return {QueueDecision::kCannotMeetDeadline, std::max(kShortestRetryAfter, wait), std::nullopt};
  }
  PushResult result;
  if (Size() >= m_impl->capacity) {
    result.displaced = m_impl->MakeRoomFor(request);
    if (!result.displaced) {
      const Duration drain = m_impl->pace * static_cast<Duration::rep>(Size());
      return {QueueDecision::kFull, std::max(kShortestRetryAfter, drain), std::nullopt};
    }
  }
  m_impl->Add(std::move(request), now);
  return result;
}

PopResult AdmissionQueue::Pop(TimePoint now) {
  PopResult result;
  result.expired = m_impl->RemoveExpired(now);
  for (ClassQueue& queue : m_impl->classes) {
    result.next = queue.TakeNext();
    if (result.next) {
      m_impl->locations.erase(result.next->id);
      m_impl->LearnPace(now);
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
  return m_impl->classes[IndexOf(location.priority)].Remove(location.customer, location.place);
}

std::size_t AdmissionQueue::Size() const noexcept { return m_impl->locations.size(); }

}  // namespace qh::limits
