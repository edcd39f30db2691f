#include "quetzalhinge/idempotency/request_key.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "quetzalhinge/base/hash.h"

namespace qh::idempotency {
namespace {

constexpr std::string_view kMacPurpose = "request-key";
constexpr std::size_t kParts = 5;
constexpr std::size_t kMaxTextBytes = 64;
constexpr std::size_t kMinIncarnationDigits = 8;
constexpr std::size_t kMaxIncarnationDigits = 16;
/** 64 bits. Each guess costs one request, so 8 digits (32 bits) could be found by brute force. */
constexpr std::size_t kMacDigits = 16;
constexpr std::size_t kMaxSecondsDigits = 12;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

bool IsHexDigit(char c) noexcept { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

bool IsHex(std::string_view text, std::size_t min, std::size_t max) noexcept {
  return text.size() >= min && text.size() <= max &&
         std::all_of(text.begin(), text.end(), IsHexDigit);
}

bool IsToken(std::string_view text) noexcept {
  return !text.empty() && text.size() <= kMaxTextBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '_' || c == '-';
         });
}

std::optional<std::array<std::string_view, kParts>> SplitParts(std::string_view text) noexcept {
  std::array<std::string_view, kParts> parts;
  for (std::size_t i = 0; i + 1 < kParts; ++i) {
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    parts[i] = text.substr(0, dot);
    text.remove_prefix(dot + 1);
  }
  parts[kParts - 1] = text;
  return parts;
}

/** Parses seconds without sign or leading zeros. */
std::optional<std::int64_t> ParseSeconds(std::string_view text) noexcept {
  std::int64_t seconds = 0;
  const bool has_form = !text.empty() && text.size() <= kMaxSecondsDigits && text.front() >= '1' &&
                        text.front() <= '9';
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (!has_form || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return seconds;
}

std::string AuthenticatedPart(const KeyHolder& holder, std::int64_t issued_unix_s) {
  return holder.vm + "." + holder.incarnation + "." + std::to_string(issued_unix_s);
}

std::string EncodeHex(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4];
    text += kDigits[value & 0xf];
  }
  return text;
}

std::string DecodeHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    unsigned int value = 0;
    std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    bytes += static_cast<char>(value);
  }
  return bytes;
}

}  // namespace

std::string RequestKey::Text() const {
  return AuthenticatedPart(holder, issued_unix_s) + "." + mac + "." + unique;
}

Result<RequestKey> ParseRequestKey(std::string_view text) {
  const auto parts = SplitParts(text);
  const std::optional<std::int64_t> issued = parts ? ParseSeconds((*parts)[2]) : std::nullopt;
  if (!issued.has_value() || !IsToken((*parts)[0]) ||
      !IsHex((*parts)[1], kMinIncarnationDigits, kMaxIncarnationDigits) ||
      !IsHex((*parts)[3], kMacDigits, kMacDigits) || !IsToken((*parts)[4])) {
    return Error{ErrorCode::kInvalidArgument, "parse key", "",
                 "a key is <key_prefix of an address answer>.<1 to 64 of [A-Za-z0-9_-]>"};
  }
  return RequestKey{{std::string((*parts)[0]), std::string((*parts)[1])},
                    *issued,
                    std::string((*parts)[3]),
                    std::string((*parts)[4])};
}

RequestKeyAuthority::RequestKeyAuthority(const auth::MessageAuthenticator& authenticator)
    : m_authenticator(authenticator) {}

std::string RequestKeyAuthority::IssuePrefix(const KeyHolder& holder, UnixMicros now_us) const {
  const std::string part = AuthenticatedPart(holder, now_us / kMicrosPerSecond);
  return part + "." + EncodeHex(m_authenticator.Mac(kMacPurpose, part).substr(0, kMacDigits / 2));
}

Result<RequestKey> RequestKeyAuthority::Accept(std::string_view text) const {
  Result<RequestKey> key = ParseRequestKey(text);
  if (!IsOk(key)) {
    return key;
  }
  const RequestKey& parsed = ValueOf(key);
  if (!m_authenticator.Verify(kMacPurpose, AuthenticatedPart(parsed.holder, parsed.issued_unix_s),
                              DecodeHex(parsed.mac))) {
    return Error{ErrorCode::kUnauthenticated, "accept key", "",
                 "the prefix was not issued by this deployment"};
  }
  return key;
}

std::uint64_t RequestFingerprint(std::string_view customer, std::string_view method,
                                 std::string_view path, std::string_view body) noexcept {
  return HashParts({customer, method, path, body});
}

}  // namespace qh::idempotency
