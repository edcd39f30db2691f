#include "call_request.h"

#include <charconv>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/retries/deadline.h"

namespace qh::entry {
namespace {

constexpr std::string_view kServicePrefix = "/svc/";

std::size_t HeaderBytes(const http::HttpHeaders& headers) {
  std::size_t bytes = 0;
  for (const http::HttpHeader& header : headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

std::optional<std::uint32_t> ParseCount(std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

CallError Malformed(std::string message) {
  return CallError{CallErrorCode::kMalformedRequest, std::move(message), {}};
}

std::optional<CallError> CheckHead(const http::HttpExchange& exchange) {
  const http::HttpRequest& request = exchange.Request();
  if (exchange.HasAmbiguousFraming()) {
    return CallError{
        CallErrorCode::kAmbiguousFraming, "the length of the body can be read in two ways", {}};
  }
  if (HeaderBytes(request.headers) > kMaxHeaderBytes) {
    return CallError{CallErrorCode::kHeadersTooLarge, "header fields exceed 16384 bytes", {}};
  }
  for (const char* name : {"idempotency-key", "x-qh-customer", "x-qh-deadline-ms", "x-qh-depth"}) {
    if (http::CountHeaders(request.headers, name) > 1) {
      return Malformed(std::string(name) + " is given more than once");
    }
  }
  return std::nullopt;
}

/** Reads a number from 1 to `max` from the header field `name`; 1 if the field is absent. */
std::variant<std::uint32_t, CallError> ReadCount(const http::HttpHeaders& headers, const char* name,
                                                 std::uint32_t max) {
  const std::optional<std::string_view> text = http::FindHeader(headers, name);
  if (!text.has_value()) {
    return 1U;
  }
  const std::optional<std::uint32_t> value = ParseCount(*text);
  if (!value.has_value() || *value < 1 || *value > max) {
    return Malformed(std::string(name) + " must be a whole number from 1 to " +
                     std::to_string(max));
  }
  return *value;
}

http::HttpHeaders HeadersToForward(const http::HttpHeaders& headers) {
  http::HttpHeaders forwarded;
  for (http::HttpHeader& header : http::WithoutHopByHop(headers)) {
    const bool is_internal = header.name.starts_with("x-qh-") || header.name == "host" ||
                             header.name == "idempotency-key" || header.name == "expect";
    if (!is_internal) {
      forwarded.push_back(std::move(header));
    }
  }
  return forwarded;
}

std::optional<CallError> ReadQhFields(const http::HttpHeaders& headers, CallRequest& call) {
  const auto attempt = ReadCount(headers, "x-qh-attempt", 1000);
  const auto depth = ReadCount(headers, "x-qh-depth", kMaxDepth);
  for (const auto* count : {&attempt, &depth}) {
    if (const auto* error = std::get_if<CallError>(count)) {
      return *error;
    }
  }
  call.attempt = std::get<std::uint32_t>(attempt);
  call.depth = std::get<std::uint32_t>(depth);
  call.no_retry = http::FindHeader(headers, "x-qh-no-retry") == "1";
  call.customer = http::FindHeader(headers, "x-qh-customer").value_or("");
  call.key = http::FindHeader(headers, "idempotency-key").value_or("");
  if (const auto text = http::FindHeader(headers, "x-qh-deadline-ms")) {
    call.time_left = retries::ParseTimeLeft(*text);
    if (!call.time_left.has_value()) {
      return Malformed("x-qh-deadline-ms must be a whole number of milliseconds");
    }
  }
  if (call.customer.empty()) {
    return CallError{CallErrorCode::kMissingCustomer, "x-qh-customer is required", {}};
  }
  return std::nullopt;
}

}  // namespace

std::variant<CallRequest, CallError> ParseCallRequest(const http::HttpExchange& exchange) {
  if (std::optional<CallError> error = CheckHead(exchange)) {
    return *std::move(error);
  }
  const http::HttpRequest& request = exchange.Request();
  CallRequest call;
  const std::string_view path = request.path;
  const std::string_view rest = path.substr(kServicePrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  call.service = rest.substr(0, end);
  call.target = end == std::string_view::npos ? "/" : rest.substr(end);
  if (call.target.front() == '?') {
    call.target.insert(0, "/");
  }
  call.method = request.method;
  if (std::optional<CallError> error = ReadQhFields(request.headers, call)) {
    return *std::move(error);
  }
  call.headers = HeadersToForward(request.headers);
  call.body = request.body;
  call.fingerprint = HashParts({call.customer, call.service, call.method, call.target, call.body});
  return call;
}

}  // namespace qh::entry
