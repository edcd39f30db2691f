#pragma once

#include <string>
#include <string_view>

namespace qh::rpc {

/** Sizes of a nonce and of a session code. */
inline constexpr std::size_t kNonceBytes = 16;
inline constexpr std::size_t kSessionCodeBytes = 32;

/** Service names in session codes; each is the name of an interface in the RPC schema. */
inline constexpr std::string_view kEntryControlService = "EntryControl";
inline constexpr std::string_view kControlPeerService = "ControlPeer";
inline constexpr std::string_view kEntryPeerService = "EntryPeer";

/** Returns a cryptographically random nonce of kNonceBytes bytes. */
std::string MakeNonce();

/**
 * Returns the code that authenticates a session: HMAC-SHA-256 over the server's nonce, the caller's
 * name and the service name, keyed with the deployment key.
 */
std::string MakeSessionCode(std::string_view key, std::string_view nonce, std::string_view caller,
                            std::string_view service);

/** Compares two codes in constant time, to prevent timing attacks. */
bool CodesEqual(std::string_view a, std::string_view b) noexcept;

}  // namespace qh::rpc
