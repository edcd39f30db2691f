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

/** A caller's request to a service, as parsed from HTTP. Filled by ParseCallRequest(). */
struct CallRequest {
  std::string service;
  std::string customer;
  std::string method;
  /** Path and query at the service, starting with '/'. */
  std::string target;
  /** Time left as the caller states it. */
  std::optional<Duration> time_left;
  /** Number of the caller's attempt, from 1. */
  std::uint32_t attempt = 1;
  /** Whether a caller further up retries, so that this level must not. */
  bool no_retry = false;
  /** Nesting level, from 1. */
  std::uint32_t depth = 1;
  /** Text of the idempotency key; empty if none was sent. */
  std::string key;
  /** Fields to forward: no hop-by-hop fields and none of the x-qh fields. */
  http::HttpHeaders headers;
  std::string body;
  /** Hash of customer, service, method, target and body. */
  std::uint64_t fingerprint = 0;
};

/** Largest sum of the bytes of all header fields of a request. */
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

/** Deepest nesting of calls; a deeper call is refused, because it is taken for a cycle. */
inline constexpr std::uint32_t kMaxDepth = 14;

/** Parses a request whose path starts with "/svc/". */
std::variant<CallRequest, CallError> ParseCallRequest(const http::HttpExchange& exchange);

}  // namespace qh::entry
