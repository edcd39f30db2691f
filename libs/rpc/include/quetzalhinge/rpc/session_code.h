#pragma once

#include <string>
#include <string_view>

namespace qh::rpc {

/** Number of bytes of a nonce and of a session code. */
inline constexpr std::size_t kNonceBytes = 16;
inline constexpr std::size_t kSessionCodeBytes = 32;

/** Names of the services in session codes: the interfaces of the schema. */
inline constexpr std::string_view kEntryControlService = "EntryControl";
inline constexpr std::string_view kControlPeerService = "ControlPeer";
inline constexpr std::string_view kEntryPeerService = "EntryPeer";

/** Returns a fresh random nonce of kNonceBytes bytes. */
std::string MakeNonce();

/**
 * Returns the code that opens a session: HMAC-SHA-256 over the server's nonce, the caller's name
 * and the name of the service, under the deployment's key.
 */
std::string MakeSessionCode(std::string_view key, std::string_view nonce, std::string_view caller,
                            std::string_view service);

/** Compares two codes in a time that does not depend on where they differ. */
bool CodesEqual(std::string_view a, std::string_view b) noexcept;

}  // namespace qh::rpc
