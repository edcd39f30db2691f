#include "quetzalhinge/contract/contract.h"

#include <algorithm>
#include <set>

namespace qh::contract {
namespace {

bool IsLetterOrDigit(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool IsMethod(std::string_view text) noexcept {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}

/** Returns whether a path segment is "." or "..", also with parameters as in "..;x". */
bool IsDotSegment(std::string_view segment) noexcept {
  const std::string_view name = segment.substr(0, segment.find(';'));
  return name == "." || name == "..";
}

bool HasEncodedSeparator(std::string_view path) noexcept {
  for (std::size_t i = path.find('%'); i != std::string_view::npos; i = path.find('%', i + 1)) {
    const char high = i + 1 < path.size() ? path[i + 1] : '\0';
    const char low = i + 2 < path.size() ? static_cast<char>(path[i + 2] | 0x20) : '\0';
    if ((high == '2' && (low == 'e' || low == 'f')) || (high == '5' && low == 'c')) {
      return true;
    }
  }
  return false;
}

/** Returns whether common path normalisations leave `path` in the directory that it names. */
bool IsNormalPath(std::string_view path) noexcept {
  if (path.empty() || path.front() != '/' || path.find('\\') != std::string_view::npos ||
      HasEncodedSeparator(path)) {
    return false;
  }
  for (std::size_t start = 1; start <= path.size();) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    const std::string_view segment = path.substr(start, end - start);
    const bool is_empty_inner_segment = segment.empty() && end != path.size();
    if (is_empty_inner_segment || IsDotSegment(segment)) {
      return false;
    }
    start = end + 1;
  }
  return true;
}

bool IsPathPrefix(std::string_view text) noexcept {
  const bool has_valid_characters = std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~' && c != '?' && c != '#' && c != ',';
  });
  return has_valid_characters && IsNormalPath(text);
}

/** Collects the violations of one contract. */
class ViolationCollector {
 public:
  void Require(bool holds, const std::string& section, const std::string& key,
               const std::string& rule) {
    if (!holds) {
      m_violations.push_back({section, key, rule});
    }
  }

  void RequireCount(std::int64_t value, std::int64_t max, const std::string& key) {
    Require(value >= 1 && value <= max, "limits", key,
            "a whole number from 1 to " + std::to_string(max));
  }

  std::vector<ContractViolation> TakeViolations() { return std::move(m_violations); }

 private:
  std::vector<ContractViolation> m_violations;
};

void CheckLimits(const Limits& limits, ViolationCollector& violations) {
  // The comparisons are false for NaN, so that NaN is refused.
  violations.Require(limits.requests_per_second >= ContractRange::kMinRequestsPerSecond &&
                         limits.requests_per_second <= ContractRange::kMaxRequestsPerSecond,
                     "limits", "requests_per_second", "a number from 0.001 to 10000000");
  violations.Require(limits.retry_share >= 0 && limits.retry_share <= 1, "limits", "retry_share",
                     "a number from 0 to 1");
  violations.RequireCount(limits.burst, ContractRange::kMaxCount, "burst");
  violations.RequireCount(limits.requests_in_progress, ContractRange::kMaxCount,
                          "requests_in_progress");
  violations.RequireCount(limits.max_body_bytes, ContractRange::kMaxBytes, "max_body_bytes");
  violations.RequireCount(limits.max_response_bytes, ContractRange::kMaxBytes,
                          "max_response_bytes");
}

void CheckService(const ServiceTerms& service, ViolationCollector& violations) {
  const std::string section = "service " + service.name;
  violations.Require(IsContractName(service.name), section, "",
                     "a service name of 1 to 64 of [A-Za-z0-9._-]");
  violations.Require(service.deadline >= ContractRange::kMinDeadline &&
                         service.deadline <= ContractRange::kMaxDeadline,
                     section, "deadline_ms", "a whole number from 1 to 600000");
  const bool are_valid_patterns = std::all_of(
      service.idempotent.begin(), service.idempotent.end(), [](const RoutePattern& pattern) {
        return IsMethod(pattern.method) && IsPathPrefix(pattern.path_prefix);
      });
  violations.Require(are_valid_patterns, section, "idempotent", "METHOD /path-prefix pairs");
}

}  // namespace

bool IsContractName(std::string_view name) noexcept {
  return !name.empty() && name.size() <= ContractRange::kMaxNameLength &&
         IsLetterOrDigit(name.front()) && std::all_of(name.begin(), name.end(), [](char c) {
           return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
         });
}

bool ParseRoutePattern(std::string_view text, RoutePattern* pattern) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) {
    return false;
  }
  const std::string_view method = text.substr(0, space);
  const std::string_view path =
      text.substr(std::min(text.find_first_not_of(' ', space), text.size()));
  if (!IsMethod(method) || !IsPathPrefix(path)) {
    return false;
  }
  *pattern = {std::string(method), std::string(path)};
  return true;
}

bool RoutePattern::Covers(std::string_view request_method, std::string_view target) const noexcept {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  if (request_method != method || !path.starts_with(path_prefix)) {
    return false;
  }
  if (path_prefix == "/") {
    return true;
  }
  const bool ends_at_segment = path_prefix.ends_with('/') || path.size() == path_prefix.size() ||
                               path[path_prefix.size()] == '/';
  return ends_at_segment && IsNormalPath(path);
}

std::string ToString(const ContractViolation& violation) {
  return "[" + violation.section + "]" + (violation.key.empty() ? "" : " " + violation.key) + ": " +
         violation.rule;
}

const ServiceTerms* Contract::FindService(std::string_view service) const noexcept {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const ServiceTerms& terms) { return terms.name == service; });
  return found == services.end() ? nullptr : &*found;
}

bool Contract::IsIdempotent(std::string_view service, std::string_view method,
                            std::string_view target) const noexcept {
  const ServiceTerms* terms = FindService(service);
  return terms != nullptr &&
         std::any_of(terms->idempotent.begin(), terms->idempotent.end(),
                     [&](const RoutePattern& pattern) { return pattern.Covers(method, target); });
}

std::vector<ContractViolation> Contract::Violations() const {
  ViolationCollector violations;
  violations.Require(IsContractName(customer), "contract", "customer", "1 to 64 of [A-Za-z0-9._-]");
  CheckLimits(limits, violations);
  violations.Require(!services.empty(), "service <name>", "", "at least one service");
  std::set<std::string> names;
  for (const ServiceTerms& service : services) {
    violations.Require(names.insert(service.name).second, "service " + service.name, "",
                       "each service once");
    CheckService(service, violations);
  }
  return violations.TakeViolations();
}

}  // namespace qh::contract
