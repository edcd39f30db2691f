#include "quetzalhinge/dispatch/worker_limits.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/limits/token_bucket.h"

namespace qh::dispatch {
namespace {

/**
 * VMs that share a limit, per request a second. More VMs serve callers of more VMs, but save more
 * requests that they may send at the same moment.
 */
constexpr double kVmsPerRequestPerSecond = 1.5;

/** Time for which a VM may save its share, if that is more than one request. */
constexpr double kSavedSeconds = 0.25;

}  // namespace

struct WorkerLimits::Impl {
  struct Limit {
    double per_s = 0;
    TimePoint heard_at{};
    limits::TokenBucket bucket;
  };

  std::string own_vm;
  std::vector<std::string> other_vms;
  bool has_vms = false;
  std::map<std::string, Limit, std::less<>> by_worker;

  /** Returns the requests a second that this VM may send to `worker`. */
  double ShareOf(const std::string& worker, double limit_per_s) const {
    const std::size_t vm_count = other_vms.size() + 1;
    const double wanted = std::ceil(limit_per_s * kVmsPerRequestPerSecond);
    const std::size_t selected = wanted >= static_cast<double>(vm_count)
                                     ? vm_count
                                     : std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
    const std::uint64_t own_hash = HashParts({own_vm, worker});
    const auto ahead =
        std::count_if(other_vms.begin(), other_vms.end(), [&](const std::string& vm) {
          return HashParts({vm, worker}) > own_hash;
        });
    const bool is_selected = has_vms && static_cast<std::size_t>(ahead) < selected;
    return is_selected ? limit_per_s / static_cast<double>(selected) : 0;
  }

  void SetShare(const std::string& worker, Limit& limit, TimePoint now) const {
    const double share = ShareOf(worker, limit.per_s);
    limit.bucket.SetRate(share, share > 0 ? std::max(1.0, share * kSavedSeconds) : 0, now);
  }
};

WorkerLimits::WorkerLimits() : m_impl(std::make_unique<Impl>()) {}
WorkerLimits::~WorkerLimits() = default;

void WorkerLimits::SetVms(const std::string& own_vm, const std::vector<std::string>& other_vms,
                          TimePoint now) {
  m_impl->own_vm = own_vm;
  m_impl->other_vms = other_vms;
  m_impl->has_vms = true;
  for (auto& [worker, limit] : m_impl->by_worker) {
    m_impl->SetShare(worker, limit, now);
  }
}

bool WorkerLimits::OnStated(std::string_view worker, std::optional<double> limit_per_s,
                            TimePoint now) {
  const auto known = m_impl->by_worker.find(worker);
  if (!limit_per_s.has_value()) {
    const bool had_limit = known != m_impl->by_worker.end();
    Forget(worker);
    return had_limit;
  }
  const bool is_new = known == m_impl->by_worker.end();
  const auto entry =
      is_new
          ? m_impl->by_worker.emplace(worker, Impl::Limit{*limit_per_s, now, {0, 0, 0, now}}).first
          : known;
  Impl::Limit& limit = entry->second;
  limit.heard_at = now;
  if (!is_new && limit.per_s == *limit_per_s) {
    return false;
  }
  limit.per_s = *limit_per_s;
  m_impl->SetShare(entry->first, limit, now);
  return true;
}

void WorkerLimits::Forget(std::string_view worker) {
  const auto known = m_impl->by_worker.find(worker);
  if (known != m_impl->by_worker.end()) {
    m_impl->by_worker.erase(known);
  }
}

bool WorkerLimits::MaySend(std::string_view worker, TimePoint now) {
  return TimeUntilSend(worker, now) == Duration(0);
}

void WorkerLimits::OnSent(std::string_view worker, TimePoint now) {
  const auto known = m_impl->by_worker.find(worker);
  if (known != m_impl->by_worker.end()) {
    known->second.bucket.TryTake(1, now);
  }
}

std::optional<Duration> WorkerLimits::TimeUntilSend(std::string_view worker, TimePoint now) {
  const auto known = m_impl->by_worker.find(worker);
  return known == m_impl->by_worker.end() ? Duration(0) : known->second.bucket.TimeUntil(1, now);
}

std::vector<std::string> WorkerLimits::NotHeardSince(TimePoint before) const {
  std::vector<std::string> workers;
  for (const auto& [worker, limit] : m_impl->by_worker) {
    if (limit.heard_at < before) {
      workers.push_back(worker);
    }
  }
  return workers;
}

}  // namespace qh::dispatch
