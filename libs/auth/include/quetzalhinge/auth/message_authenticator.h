#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"

namespace qh::auth {

/** A datagram whose authenticity and age were checked. */
struct OpenedDatagram {
  std::string sender;
  /** Stamp of the sender: its wall clock, raised so that each of its datagrams has a later one. */
  UnixMicros sent_us = 0;
  /** Receipt less `sent_us`; at least 0. Includes the difference of the two wall clocks. */
  std::chrono::microseconds age{0};
  std::string payload;
};

/** Bounds of a MessageAuthenticator. */
struct AuthenticatorOptions {
  /** Largest difference between a datagram's stamp and the receiver's wall clock, both ways.
   */
  std::chrono::milliseconds max_age{2000};
};

/**
 * Authenticates bytes with HMAC-SHA-256 under the deployment's key, and seals datagrams against
 * forgery and replay.
 *
 * A receiver takes from each sender only datagrams with a later stamp than the last one and with a
 * stamp within `max_age` of its own wall clock. A datagram that was overtaken is therefore refused
 * too; gossip tolerates the loss. VMs whose wall clocks differ by more than `max_age` cannot hear
 * each other.
 */
class MessageAuthenticator {
 public:
  static constexpr std::size_t kMacBytes = 32;
  static constexpr std::size_t kMinKeyBytes = 16;
  static constexpr std::size_t kMaxSenderBytes = 64;

  /**
   * @param keys the first one signs; all of them verify, so that a key can be replaced while old
   *     messages are still under way. At least one; each of at least kMinKeyBytes.
   * Errors: kInvalidArgument if a key is missing or short.
   */
  static Result<MessageAuthenticator> Create(std::vector<std::string> keys,
                                             AuthenticatorOptions options = {});

  /**
   * Returns the kMacBytes of the HMAC of `data`.
   * @param purpose separates uses, so that a code for one can never pass in another
   */
  std::string Mac(std::string_view purpose, std::string_view data) const;

  /**
   * Returns whether `mac` is the HMAC of `data`, or a prefix of it with at least 8 bytes. Takes the
   * same time whichever byte differs.
   */
  bool Verify(std::string_view purpose, std::string_view data, std::string_view mac) const;

  /**
   * Returns `payload` as a datagram of OverheadBytes(sender) more bytes.
   * @param sender 1 to kMaxSenderBytes bytes; a longer one is cut
   */
  std::string Seal(std::string_view sender, std::string_view payload, UnixMicros now_us);

  /**
   * Checks a datagram and returns its content. Errors: kProtocol (too short, other version),
   * kUnauthenticated (wrong code), kTimeout (stamp outside max_age), kConflict (not later than the
   * sender's last datagram: a replay or overtaken).
   */
  Result<OpenedDatagram> Open(std::string_view datagram, UnixMicros now_us);

  /** Returns the bytes that Seal() adds. */
  static constexpr std::size_t OverheadBytes(std::size_t sender_bytes) noexcept {
    return kMacBytes + kHeaderBytes + sender_bytes;
  }

 private:
  /** Version (1), length of the sender (1), stamp (8). */
  static constexpr std::size_t kHeaderBytes = 10;

  MessageAuthenticator(std::vector<std::string> keys, AuthenticatorOptions options);
  Result<OpenedDatagram> CheckReplay(OpenedDatagram datagram, UnixMicros now_us);
  void EvictOldSenders(UnixMicros now_us);

  std::vector<std::string> m_keys;
  AuthenticatorOptions m_options;
  UnixMicros m_last_stamp_us = 0;
  std::unordered_map<std::string, UnixMicros> m_last_received_us;
  std::size_t m_evict_at_size;
};

}  // namespace qh::auth
