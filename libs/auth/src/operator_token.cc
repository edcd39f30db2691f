#include "quetzalhinge/auth/operator_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <strings.h>

#include <algorithm>

namespace qh::auth {
namespace {

constexpr std::string_view kScheme = "Bearer ";

std::string Digest(std::string_view text) {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), reinterpret_cast<unsigned char*>(digest.data()), &size,
             EVP_sha256(), nullptr);
  digest.resize(size);
  return digest;
}

}  // namespace

OperatorToken::OperatorToken(std::string_view token)
    : m_digest(token.empty() ? std::string() : Digest(token)) {}

bool OperatorToken::Accepts(std::string_view authorization) const {
  if (m_digest.empty() || authorization.size() <= kScheme.size() ||
      strncasecmp(authorization.data(), kScheme.data(), kScheme.size()) != 0) {
    return false;
  }
  const std::string digest = Digest(authorization.substr(kScheme.size()));
  return CRYPTO_memcmp(digest.data(), m_digest.data(), m_digest.size()) == 0;
}

}  // namespace qh::auth
