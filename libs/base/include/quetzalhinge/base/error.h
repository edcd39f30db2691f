#pragma once

#include <string>
#include <utility>
#include <variant>

namespace qh {

/** Kinds of failure that callers of a module distinguish. */
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

/** A failure with the step at which it arose and the peer that took part in it. */
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  /** What was being done, for example "connect" or "read head". */
  std::string step;
  /** Address or name of the other side; empty if there is none. */
  std::string peer;
  /** What was found, for people. */
  std::string detail;
};

/** Returns "<step>[ <peer>]: <code>: <detail>". */
std::string ToString(const Error& error);

/** The result type for functions that return no value. */
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
