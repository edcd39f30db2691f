#include "quetzalhinge/auth/message_authenticator.h"

#include <endian.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace qh::auth {
namespace {

constexpr char kDatagramVersion = 1;
constexpr std::string_view kDatagramPurpose = "datagram";
constexpr std::size_t kMinMacPrefixBytes = 8;
constexpr std::size_t kMinEvictionSize = 64;
/**
 * Stamps are stored for this multiple of max_age, so that setting the wall clock back slightly does
 * not permit replays.
 */
constexpr int kStampRetentionAges = 10;

std::string ComputeMac(const std::string& key, std::string_view purpose, std::string_view data) {
  std::string message(purpose);
  message += '\0';
  message += data;
  std::string mac(MessageAuthenticator::kMacBytes, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

std::string EncodeStamp(UnixMicros stamp_us) {
  const std::uint64_t value = htobe64(static_cast<std::uint64_t>(stamp_us));
  std::string bytes(sizeof value, '\0');
  std::memcpy(bytes.data(), &value, sizeof value);
  return bytes;
}

UnixMicros DecodeStamp(std::string_view bytes) {
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), sizeof value);
  return static_cast<UnixMicros>(be64toh(value));
}

Error OpenError(ErrorCode code, const std::string& sender, const std::string& detail) {
  return {code, "open datagram", sender, detail};
}

}  // namespace

MessageAuthenticator::MessageAuthenticator(std::vector<std::string> keys,
                                           AuthenticatorOptions options)
    : m_keys(std::move(keys)), m_options(options), m_evict_at_size(kMinEvictionSize) {}

Result<MessageAuthenticator> MessageAuthenticator::Create(std::vector<std::string> keys,
                                                          AuthenticatorOptions options) {
  const bool is_valid =
      !keys.empty() && std::all_of(keys.begin(), keys.end(), [](const std::string& key) {
        return key.size() >= kMinKeyBytes;
      });
  if (!is_valid) {
    return Error{ErrorCode::kInvalidArgument, "create authenticator", "",
                 "each key needs at least " + std::to_string(kMinKeyBytes) + " bytes"};
  }
  return MessageAuthenticator(std::move(keys), options);
}

std::string MessageAuthenticator::Mac(std::string_view purpose, std::string_view data) const {
  return ComputeMac(m_keys.front(), purpose, data);
}

bool MessageAuthenticator::Verify(std::string_view purpose, std::string_view data,
                                  std::string_view mac) const {
  if (mac.size() < kMinMacPrefixBytes || mac.size() > kMacBytes) {
    return false;
  }
  return std::any_of(m_keys.begin(), m_keys.end(), [&](const std::string& key) {
    return CRYPTO_memcmp(ComputeMac(key, purpose, data).data(), mac.data(), mac.size()) == 0;
  });
}

std::string MessageAuthenticator::Seal(std::string_view sender, std::string_view payload,
                                       UnixMicros now_us) {
  m_last_stamp_us = std::max(m_last_stamp_us + 1, now_us);
  const std::string_view name = sender.substr(0, kMaxSenderBytes);
  std::string content(1, kDatagramVersion);
  content += static_cast<char>(name.size());
  content += EncodeStamp(m_last_stamp_us);
  content += name;
  content += payload;
  return Mac(kDatagramPurpose, content) + content;
}

Result<OpenedDatagram> MessageAuthenticator::Open(std::string_view datagram, UnixMicros now_us) {
  if (datagram.size() < OverheadBytes(0) || datagram[kMacBytes] != kDatagramVersion) {
    return OpenError(ErrorCode::kProtocol, "", "datagram is too short or has an unknown version");
  }
  const std::string_view content = datagram.substr(kMacBytes);
  if (!Verify(kDatagramPurpose, content, datagram.substr(0, kMacBytes))) {
    return OpenError(ErrorCode::kUnauthenticated, "", "wrong authentication code");
  }
  const auto sender_bytes = static_cast<unsigned char>(content[1]);
  if (content.size() < kHeaderBytes + sender_bytes) {
    return OpenError(ErrorCode::kProtocol, "", "datagram is truncated within the sender name");
  }
  OpenedDatagram opened;
  opened.sent_us = DecodeStamp(content.substr(2));
  opened.sender = content.substr(kHeaderBytes, sender_bytes);
  opened.payload = content.substr(kHeaderBytes + sender_bytes);
  return CheckReplay(std::move(opened), now_us);
}

Result<OpenedDatagram> MessageAuthenticator::CheckReplay(OpenedDatagram datagram,
                                                         UnixMicros now_us) {
  const std::chrono::microseconds clock_difference(now_us - datagram.sent_us);
  if (clock_difference > m_options.max_age || -clock_difference > m_options.max_age) {
    return OpenError(ErrorCode::kTimeout, datagram.sender,
                     "stamp differs by " + std::to_string(clock_difference.count()) + " us");
  }
  EvictOldSenders(now_us);
  const auto [last, is_first] = m_last_received_us.try_emplace(datagram.sender, datagram.sent_us);
  if (!is_first && datagram.sent_us <= last->second) {
    return OpenError(ErrorCode::kConflict, datagram.sender, "datagram is replayed or out of order");
  }
  last->second = datagram.sent_us;
  datagram.age = std::max(clock_difference, std::chrono::microseconds(0));
  return datagram;
}

void MessageAuthenticator::EvictOldSenders(UnixMicros now_us) {
  if (m_last_received_us.size() < m_evict_at_size) {
    return;
  }
  const auto oldest = std::chrono::microseconds(now_us) - kStampRetentionAges * m_options.max_age;
  std::erase_if(m_last_received_us,
                [&](const auto& item) { return std::chrono::microseconds(item.second) < oldest; });
  // Doubling the threshold keeps the amortised cost per datagram constant.
  m_evict_at_size = std::max(kMinEvictionSize, 2 * m_last_received_us.size());
}

}  // namespace qh::auth
