#pragma once

#include <string>
#include <string_view>

namespace qh::auth {

/** The bearer token of the operators' interface. */
class OperatorToken {
 public:
  /** @param token what operators must send; with an empty one, nobody is let in */
  explicit OperatorToken(std::string_view token);

  /**
   * Returns whether the value of an "authorization" header is "Bearer <token>". Compares digests,
   * so that the time taken tells neither the token's length nor how much of it was right.
   */
  bool Accepts(std::string_view authorization) const;

 private:
  /** SHA-256 of the token; empty if no token was set. */
  std::string m_digest;
};

}  // namespace qh::auth
