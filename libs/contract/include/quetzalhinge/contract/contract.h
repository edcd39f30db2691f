#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/enum_table.h"

namespace qh::contract {

/** Order in which queued requests are served; a higher class goes first. */
enum class PriorityClass { kLow, kNormal, kHigh };

inline constexpr EnumTable<PriorityClass, 3> kPriorityClassNames{{{
    {PriorityClass::kLow, "low"},
    {PriorityClass::kNormal, "normal"},
    {PriorityClass::kHigh, "high"},
}}};

/** Ranges of the fields of a contract, both ends included. */
struct ContractRange {
  static constexpr double kMinRequestsPerSecond = 0.001;
  static constexpr double kMaxRequestsPerSecond = 10'000'000;
  static constexpr std::int64_t kMaxCount = 10'000'000;
  static constexpr std::int64_t kMaxBytes = 1'073'741'824;
  static constexpr std::chrono::milliseconds kMinDeadline{1};
  static constexpr std::chrono::milliseconds kMaxDeadline{600'000};
  static constexpr std::size_t kMaxNameLength = 64;
};

/** Limits of one customer, over all entry VMs together. */
struct Limits {
  double requests_per_second = 0;
  /** Requests that may arrive at once above the rate. */
  std::int64_t burst = 0;
  std::int64_t requests_in_progress = 0;
  /** Largest share of retries and hedges in first attempts, within [0, 1]. */
  double retry_share = 0.1;
  std::int64_t max_body_bytes = 262'144;
  std::int64_t max_response_bytes = 4'194'304;

  bool operator==(const Limits&) const = default;
};

/** Requests with this method whose path is `path_prefix` or lies below it. */
struct RoutePattern {
  std::string method;
  std::string path_prefix;

  /**
   * Returns whether the pattern covers a request. `target` may have a query, which is ignored.
   *
   * The prefix ends at a segment boundary: "/stock" covers "/stock/7" and not "/stockpile". A
   * prefix other than "/" covers no path with dot segments, empty segments, a backslash or an
   * encoded dot, slash or backslash, because a worker could normalise such a path to one outside
   * the prefix.
   */
  bool Covers(std::string_view request_method, std::string_view target) const noexcept;

  bool operator==(const RoutePattern&) const = default;
};

/** What the contract says of one service. */
struct ServiceTerms {
  std::string name;
  /** Deadline of a request that names none, and upper bound of one that does. */
  std::chrono::milliseconds deadline{0};
  /** Routes whose requests may be sent more than once. */
  std::vector<RoutePattern> idempotent;

  bool operator==(const ServiceTerms&) const = default;
};

/** A rule that a contract breaks, with the place in the contract's INI form. */
struct ContractViolation {
  std::string section;
  /** Empty if the whole section is meant. */
  std::string key;
  /** What is allowed. */
  std::string rule;
};

/** Returns "[<section>] <key>: <rule>". */
std::string ToString(const ContractViolation& violation);

/** Everything an operator promises to, and allows, one customer. */
struct Contract {
  std::string customer;
  Limits limits;
  PriorityClass priority = PriorityClass::kNormal;
  std::vector<ServiceTerms> services;

  /** Returns the terms of `service`, or null if the customer has no such service. */
  const ServiceTerms* FindService(std::string_view service) const noexcept;

  /**
   * Returns whether a request may be sent to a worker more than once. False for a service that the
   * contract does not have, so that a request nobody described is never repeated.
   */
  bool IsIdempotent(std::string_view service, std::string_view method,
                    std::string_view target) const noexcept;

  /** Returns every rule that the contract breaks; empty for a valid contract. */
  std::vector<ContractViolation> Violations() const;

  bool operator==(const Contract&) const = default;
};

/**
 * Returns whether `name` can name a customer or a service: 1 to 64 of [A-Za-z0-9._-], the first one
 * a letter or a digit.
 */
bool IsContractName(std::string_view name) noexcept;

/** Parses "METHOD /path-prefix"; returns false and leaves `pattern` alone on another form. */
bool ParseRoutePattern(std::string_view text, RoutePattern* pattern);

}  // namespace qh::contract
