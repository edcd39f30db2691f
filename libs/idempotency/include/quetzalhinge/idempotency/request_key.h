#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"

namespace qh::idempotency {

/** The process that may start a key: one incarnation of the entry process of one VM. */
struct KeyHolder {
  /** 1 to 64 of [A-Za-z0-9_-]. */
  std::string vm;
  /** 8 to 16 lower-case hexadecimal digits. */
  std::string incarnation;

  bool operator==(const KeyHolder&) const = default;
};

/** An idempotency key: "<vm>.<incarnation>.<issued_unix_s>.<mac>.<unique>". */
struct RequestKey {
  KeyHolder holder;
  std::int64_t issued_unix_s = 0;
  /** 16 lower-case hexadecimal digits. */
  std::string mac;
  /** 1 to 64 of [A-Za-z0-9_-], chosen by the caller. */
  std::string unique;

  /** Returns the only accepted text form. */
  std::string Text() const;
};

/**
 * Parses a key without authenticating it; kInvalidArgument on another form. There is exactly one
 * text per key (no leading zeros, no upper-case digits), so that two spellings cannot run twice.
 */
Result<RequestKey> ParseRequestKey(std::string_view text);

/** Issues and authenticates request keys under the deployment's key. */
class RequestKeyAuthority {
 public:
  /** The authenticator must outlive the authority. */
  explicit RequestKeyAuthority(const auth::MessageAuthenticator& authenticator);

  /** Returns the `key_prefix` of an address answer: the first four parts of a key. */
  std::string IssuePrefix(const KeyHolder& holder, UnixMicros now_us) const;

  /** Parses and authenticates a key; kInvalidArgument (form) or kUnauthenticated (mac). */
  Result<RequestKey> Accept(std::string_view text) const;

 private:
  const auth::MessageAuthenticator& m_authenticator;
};

/** Returns the fingerprint that tells a repeated request from another one with the same key. */
std::uint64_t RequestFingerprint(std::string_view customer, std::string_view method,
                                 std::string_view path, std::string_view body) noexcept;

}  // namespace qh::idempotency
