#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "call_error.h"
#include "quetzalhinge/http/http_server.h"

namespace qh::entry {

/** A caller's request to a service, parsed from HTTP by ParseCallRequest(). */
struct CallRequest {
  std::string service;
  std::string customer;
  std::string method;
  /** Path and query at the service, starting with '/'. */
  std::string target;
  /** Remaining time that the caller states (x-qh-deadline-ms). */
  std::optional<Duration> time_left;
  /** Number of the caller's attempt, from 1 (x-qh-attempt). */
  std::uint32_t attempt = 1;
  /** Whether an earlier caller in the chain retries, so that this VM must not (x-qh-no-retry). */
  bool no_retry = false;
  /** Nesting depth of the call, from 1 (x-qh-depth). */
  std::uint32_t depth = 1;
  /** Idempotency key; empty if none was sent. */
  std::string key;
  /**
   * Header fields to forward to the worker: without hop-by-hop fields, x-qh fields, host, expect
   * and idempotency-key.
   */
  http::HttpHeaders headers;
  http::Body body;
  /** Hash of customer, service, method, target and body. */
  std::uint64_t fingerprint = 0;
};

/** Maximum size of all header fields of a request together, in bytes. */
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

/** Maximum nesting depth of calls. Deeper calls are refused, as they are assumed to be a cycle. */
inline constexpr std::uint32_t kMaxDepth = 14;

/** Parses a request whose path starts with "/svc/". */
std::variant<CallRequest, CallError> ParseCallRequest(const http::HttpExchange& exchange);

}  // namespace qh::entry
