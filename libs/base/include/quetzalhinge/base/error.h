#pragma once

#include <string>
#include <utility>
#include <variant>

namespace qh {

/** Error categories that callers distinguish. */
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kProtocol,
  kUnauthenticated,
  kExhausted,
};

/** Returns the stable name of `code`, as used in logs and JSON. */
const char* ToString(ErrorCode code) noexcept;

/** A failure with the operation that failed and the peer involved. */
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  /** The operation that failed, for example "connect" or "read head". */
  std::string step;
  /** Address or name of the peer; empty if there is none. */
  std::string peer;
  /** Human-readable description of the cause. */
  std::string detail;
};

/** Returns "<step>[ <peer>]: <code>: <detail>". */
std::string ToString(const Error& error);

/** Value type of the Result of functions that return no value. */
struct Success {};

/** Either a value or an Error. */
template <typename T>
using Result = std::variant<T, Error>;

/** Returns whether `result` holds a value. */
template <typename T>
bool IsOk(const Result<T>& result) noexcept {
  return std::holds_alternative<T>(result);
}

/** Returns the value of `result`; throws std::bad_variant_access if it holds an Error. */
template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<T>(result);
}

/** Moves the value out of `result`; throws std::bad_variant_access if it holds an Error. */
template <typename T>
T TakeValue(Result<T>&& result) {
  return std::get<T>(std::move(result));
}

/** Returns the error of `result`; throws std::bad_variant_access if it holds a value. */
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace qh
