#include "quetzalhinge/rpc/session_code.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace qh::rpc {

std::string MakeNonce() {
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceBytes) != 1) {
    throw std::runtime_error("the random generator of OpenSSL failed");
  }
  return nonce;
}

std::string MakeSessionCode(std::string_view key, std::string_view nonce, std::string_view caller,
                            std::string_view service) {
  // The encoding is unambiguous: the nonce has a fixed size and names contain no NUL separator.
  std::string message(nonce);
  message.append(caller).append(1, '\0').append(service);
  std::string code(kSessionCodeBytes, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       reinterpret_cast<unsigned char*>(code.data()), &size);
  return code;
}

bool CodesEqual(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace qh::rpc
