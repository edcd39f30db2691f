#include "worker_observations.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace qh::entry {
namespace {

using routing::RequestOutcome;

constexpr int kDrainingStatus = 503;

}  // namespace

RequestOutcome OutcomeOf(AttemptEnd end, int status) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return status >= 500 ? RequestOutcome::kFailed : RequestOutcome::kSucceeded;
    case AttemptEnd::kShed:
      return RequestOutcome::kShed;
    case AttemptEnd::kTimedOut:
      return RequestOutcome::kTimedOut;
    case AttemptEnd::kNotConnected:
    case AttemptEnd::kFailed:
    case AttemptEnd::kInvalidResponse:
      break;
  }
  return RequestOutcome::kFailed;
}

std::optional<routing::LoadReport> ParseLoad(std::string_view text, TimePoint now) {
  routing::LoadReport report;
  report.measured_at = now;
  const char* end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), end, report.in_progress);
  if (first.ec != std::errc() || first.ptr == end || *first.ptr != '/') {
    return std::nullopt;
  }
  const auto second = std::from_chars(first.ptr + 1, end, report.slots);
  if (second.ec != std::errc() || second.ptr != end || report.in_progress < 0) {
    return std::nullopt;
  }
  return report;
}

bool IsDrainingResponse(const http::HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body.Bytes(), nullptr, false);
  return response.status == kDrainingStatus && body.is_object() && body.contains("state") &&
         body["state"] == "draining";
}

routing::SelectionPolicy ToSelectionPolicy(vm_settings::RoutingPolicy policy) {
  switch (policy) {
    case vm_settings::RoutingPolicy::kRandom:
      return routing::SelectionPolicy::kRandom;
    case vm_settings::RoutingPolicy::kRoundRobin:
      return routing::SelectionPolicy::kRoundRobin;
    case vm_settings::RoutingPolicy::kLeastRequests:
      return routing::SelectionPolicy::kLeastRequests;
    case vm_settings::RoutingPolicy::kLoadAware:
      break;
  }
  return routing::SelectionPolicy::kLoadAware;
}

}  // namespace qh::entry
