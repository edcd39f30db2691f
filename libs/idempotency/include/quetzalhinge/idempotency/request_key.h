#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"

namespace qh::idempotency {

/** The only process that may start a key: one incarnation of the entry process of one VM. */
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

  /** Returns the canonical text form, the only one accepted. */
  std::string Text() const;
};

/**
 * Parses a key without authenticating it. Error: kInvalidArgument if the text is malformed. Each
 * key has exactly one valid text (no leading zeros, no upper-case digits); otherwise two spellings
 * of a key could run its request twice.
 */
Result<RequestKey> ParseRequestKey(std::string_view text);

/** Issues and authenticates request keys with the deployment's secret key. */
class RequestKeyAuthority {
 public:
  /** The authenticator must outlive the authority. */
  explicit RequestKeyAuthority(const auth::MessageAuthenticator& authenticator);

  /** Returns the `key_prefix` field of an address response: the first four parts of a key. */
  std::string IssuePrefix(const KeyHolder& holder, UnixMicros now_us) const;

  /** Parses and authenticates a key. Errors: kInvalidArgument (form), kUnauthenticated (MAC). */
  Result<RequestKey> Accept(std::string_view text) const;

 private:
  const auth::MessageAuthenticator& m_authenticator;
};

/**
 * Returns a hash of the request that distinguishes a repeated request from a different one with the
 * same key.
 */
std::uint64_t RequestFingerprint(std::string_view customer, std::string_view method,
                                 std::string_view path, std::string_view body) noexcept;

}  // namespace qh::idempotency
