#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/enum_table.h"

namespace qh::contract {

/** Priority of queued requests; higher classes are served first. */
enum class PriorityClass { kLow, kNormal, kHigh };

inline constexpr EnumTable<PriorityClass, 3> kPriorityClassNames{{{
    {PriorityClass::kLow, "low"},
    {PriorityClass::kNormal, "normal"},
    {PriorityClass::kHigh, "high"},
}}};

/** Inclusive ranges of the fields of a contract. */
struct ContractRange {
  static constexpr double kMinRequestsPerSecond = 0.001;
  static constexpr double kMaxRequestsPerSecond = 10'000'000;
  static constexpr std::int64_t kMaxCount = 10'000'000;
  static constexpr std::int64_t kMaxBytes = 1'073'741'824;
  static constexpr std::chrono::milliseconds kMinDeadline{1};
  static constexpr std::chrono::milliseconds kMaxDeadline{600'000};
  static constexpr std::size_t kMaxNameLength = 64;
};

/** Limits of one customer, over all entry VMs. */
struct Limits {
  double requests_per_second = 0;
  /** Requests that may arrive at once above the rate. */
  std::int64_t burst = 0;
  std::int64_t requests_in_progress = 0;
  /** Maximum ratio of retries and hedged requests to first attempts, within [0, 1]. */
  double retry_share = 0.1;
  std::int64_t max_body_bytes = 262'144;
  std::int64_t max_response_bytes = 4'194'304;

  bool operator==(const Limits&) const = default;
};

/** Matches requests with this method whose path is `path_prefix` or below it. */
struct RoutePattern {
  std::string method;
  std::string path_prefix;

  /**
   * Returns whether the pattern matches a request. A query in `target` is ignored.
   *
   * The prefix matches whole path segments: "/stock" matches "/stock/7" but not "/stockpile". A
   * prefix other than "/" matches no path with dot segments, empty segments, a backslash or an
   * encoded dot, slash or backslash, because a worker could normalise such a path to one outside
   * the prefix.
   */
  bool Covers(std::string_view request_method, std::string_view target) const noexcept;

  bool operator==(const RoutePattern&) const = default;
};

/** The terms of a contract for one service. */
struct ServiceTerms {
  std::string name;
  /** Default deadline of requests, and upper bound of the deadlines that requests specify. */
  std::chrono::milliseconds deadline{0};
  /** Routes whose requests may be sent to a worker more than once. */
  std::vector<RoutePattern> idempotent;

  bool operator==(const ServiceTerms&) const = default;
};

/** A rule that a contract violates, with its location in the INI form of the contract. */
struct ContractViolation {
  std::string section;
  /** Empty if the violation concerns the whole section. */
  std::string key;
  /** Description of the allowed values. */
  std::string rule;
};

/** Returns "[<section>] <key>: <rule>". */
std::string ToString(const ContractViolation& violation);

/** The services, limits and priority that an operator grants to one customer. */
struct Contract {
  std::string customer;
  Limits limits;
  PriorityClass priority = PriorityClass::kNormal;
  std::vector<ServiceTerms> services;

  /** Returns the terms of `service`, or nullptr if the contract does not include it. */
  const ServiceTerms* FindService(std::string_view service) const noexcept;

  /**
   * Returns whether a request may be sent to a worker more than once. Returns false for a service
   * that the contract does not include, so that unspecified requests are never repeated.
   */
  bool IsIdempotent(std::string_view service, std::string_view method,
                    std::string_view target) const noexcept;

  /** Returns all violations; empty for a valid contract. */
  std::vector<ContractViolation> Violations() const;

  bool operator==(const Contract&) const = default;
};

/**
 * Returns whether `name` is a valid name of a customer or service: 1 to 64 characters of
 * [A-Za-z0-9._-], starting with a letter or digit.
 */
bool IsContractName(std::string_view name) noexcept;

/** Parses "METHOD /path-prefix"; returns false and leaves `pattern` unchanged if malformed. */
bool ParseRoutePattern(std::string_view text, RoutePattern* pattern);

}  // namespace qh::contract
