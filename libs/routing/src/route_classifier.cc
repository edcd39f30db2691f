#include "quetzalhinge/routing/route_classifier.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <optional>

#include "decaying_histogram.h"

namespace qh::routing {
namespace {

/** Below this number of samples, quantiles are computed at each sample, then at intervals. */
constexpr std::uint64_t kSamplesBeforeCaching = 200;
constexpr Duration kCacheInterval = std::chrono::milliseconds(50);

/** Recent work time, in seconds, below which a class counts as unused. */
constexpr double kNegligibleSeconds = 1e-4;

/** A sum that decays with a half-life. */
class DecayingSum {
 public:
  void Add(double amount, TimePoint now, Duration half_life) noexcept {
    m_value = At(now, half_life) + amount;
    m_updated = now;
  }

  double At(TimePoint now, Duration half_life) const noexcept {
    const double half_lives =
        std::chrono::duration<double>(now - m_updated) / std::chrono::duration<double>(half_life);
    return m_value * std::exp2(-half_lives);
  }

 private:
  double m_value = 0;
  TimePoint m_updated;
};

/** Histogram of latencies with cached quantiles. */
class LatencyProfile {
 public:
  explicit LatencyProfile(Duration half_life) noexcept : m_histogram(half_life) {}

  void Record(Duration latency, TimePoint now) noexcept {
    m_histogram.Record(latency, now);
    if (Samples() < kSamplesBeforeCaching || now - m_computed >= kCacheInterval) {
      m_median = m_histogram.Quantile(0.5);
      m_p95 = m_histogram.Quantile(0.95);
      m_computed = now;
    }
  }

  std::uint64_t Samples() const noexcept { return m_histogram.Samples(); }
  Duration Median() const noexcept { return m_median; }
  Duration P95() const noexcept { return m_p95; }

 private:
  DecayingHistogram m_histogram;
  Duration m_median{};
  Duration m_p95{};
  TimePoint m_computed;
};

struct ServiceEntry {
  explicit ServiceEntry(Duration half_life) : latency(half_life) {}

  LatencyProfile latency;
  DecayingSum short_seconds;
  DecayingSum long_seconds;
};

struct RouteEntry {
  RouteEntry(const Route& key, Duration half_life) : route(key), latency(half_life) {}

  Route route;
  LatencyProfile latency;
  WorkClass work_class = WorkClass::kUnknown;
};

using RouteList = std::list<RouteEntry>;

}  // namespace

struct RouteClassifier::Impl {
  ClassifierOptions options;
  std::map<std::string, ServiceEntry, std::less<>> services;
  /** Classified and unclassified routes, the most recently used first. */
  RouteList classified;
  RouteList unclassified;
  std::map<Route, RouteList::iterator> routes;

  ServiceEntry* ServiceOf(const std::string& service) {
    const auto found = services.find(service);
    if (found != services.end()) {
      return &found->second;
    }
    if (services.size() >= static_cast<std::size_t>(options.max_services)) {
      return nullptr;
    }
    return &services.try_emplace(service, options.half_life).first->second;
  }

  /** Evicts the least recently used routes until `list` contains at most `limit`. */
  void Shrink(RouteList& list, int limit) {
    while (list.size() > static_cast<std::size_t>(limit)) {
      routes.erase(list.back().route);
      list.pop_back();
    }
  }

  /** Returns the entry of `route`, marked as the most recently used; adds it if necessary. */
  RouteEntry& FindOrAdd(const Route& route) {
    const auto found = routes.find(route);
    if (found == routes.end()) {
      unclassified.emplace_front(route, options.half_life);
      routes.emplace(route, unclassified.begin());
      Shrink(unclassified, options.max_unknown_routes);
      return unclassified.front();
    }
    RouteList& list = found->second->work_class == WorkClass::kUnknown ? unclassified : classified;
    list.splice(list.begin(), list, found->second);
    return *found->second;
  }

  void Classify(RouteEntry& entry, const ServiceEntry& service) {
    if (entry.latency.Samples() < static_cast<std::uint64_t>(options.min_samples)) {
      return;
    }
    const double ratio = std::chrono::duration<double>(entry.latency.Median()) /
                         std::chrono::duration<double>(service.latency.Median() + Duration(1));
    const bool was_unknown = entry.work_class == WorkClass::kUnknown;
    const double bound =
        entry.work_class == WorkClass::kLong ? options.short_below : options.long_above;
    entry.work_class = ratio > bound ? WorkClass::kLong : WorkClass::kShort;
    if (was_unknown) {
      classified.splice(classified.begin(), unclassified, routes.at(entry.route));
      Shrink(classified, options.max_routes);
    }
  }

  /**
   * Adds one call to the work time of its class. Counts the route's median instead of the latency
   * of the call, because a latency that is mostly waiting would distort the shares.
   */
  void AddWorkTime(const RouteEntry& entry, ServiceEntry& service, TimePoint now) const {
    if (entry.work_class == WorkClass::kUnknown) {
      return;
    }
    const double seconds = std::chrono::duration<double>(entry.latency.Median()).count();
    DecayingSum& sum =
        entry.work_class == WorkClass::kShort ? service.short_seconds : service.long_seconds;
    sum.Add(seconds, now, options.reserve_half_life);
  }
};

RouteClassifier::RouteClassifier(const ClassifierOptions& options)
    : m_impl(std::make_unique<Impl>(Impl{options, {}, {}, {}, {}})) {}
RouteClassifier::~RouteClassifier() = default;

RouteProfile RouteClassifier::ProfileOf(const Route& route) const {
  const auto found = m_impl->routes.find(route);
  if (found == m_impl->routes.end() || found->second->work_class == WorkClass::kUnknown) {
    return {};
  }
  const RouteEntry& entry = *found->second;
  return {entry.work_class, entry.latency.Median(), entry.latency.P95()};
}

void RouteClassifier::Record(const Route& route, Duration latency, TimePoint now) {
  ServiceEntry* service = m_impl->ServiceOf(route.service);
  if (service == nullptr) {
    return;
  }
  service->latency.Record(latency, now);
  RouteEntry& entry = m_impl->FindOrAdd(route);
  entry.latency.Record(latency, now);
  m_impl->Classify(entry, *service);
  m_impl->AddWorkTime(entry, *service, now);
}

double RouteClassifier::ReservedShare(std::string_view service, TimePoint now) const {
  const auto found = m_impl->services.find(service);
  if (found == m_impl->services.end()) {
    return 0;
  }
  const ClassifierOptions& options = m_impl->options;
  const double short_s = found->second.short_seconds.At(now, options.reserve_half_life);
  const double long_s = found->second.long_seconds.At(now, options.reserve_half_life);
  if (short_s < kNegligibleSeconds || long_s < kNegligibleSeconds) {
    return 0;
  }
  return std::clamp(short_s / (short_s + long_s), options.min_reserved_share,
                    options.max_reserved_share);
}

int RouteClassifier::RouteCount() const noexcept { return static_cast<int>(m_impl->routes.size()); }

}  // namespace qh::routing
