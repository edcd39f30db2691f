#pragma once

#include <string>
#include <string_view>

namespace qh::auth {

/** The bearer token of the HTTP interface for operators. */
class OperatorToken {
 public:
  /** @param token expected token; if empty, all requests are rejected */
  explicit OperatorToken(std::string_view token);

  /**
   * Returns whether the value of an "authorization" header is "Bearer <token>". Compares digests,
   * so that the run time reveals neither the length of the token nor a matching prefix.
   */
  bool Accepts(std::string_view authorization) const;

 private:
  /** SHA-256 of the token; empty if the token is empty. */
  std::string m_digest;
};

}  // namespace qh::auth
