#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace qh::test {

/** Returns a listening TCP socket; throws std::runtime_error if the address cannot be bound. */
int ListenRaw(const std::string& ip, std::uint16_t port);

/** Returns a connected TCP socket; throws std::runtime_error if the connection fails. */
int ConnectRaw(const std::string& ip, std::uint16_t port);

/** Writes all bytes; returns whether that succeeded. */
bool WriteAll(int socket, const std::string& bytes);

/** Appends the next received bytes to `buffer`; returns false at the end of the stream. */
bool ReadSome(int socket, std::string& buffer);

/** Reads until the peer closes the connection or sends nothing for `limit`; returns the bytes. */
std::string ReadUntilClosed(int socket, std::chrono::milliseconds limit);

/** Returns the value of header `name` (lower case) in the message head `head`; empty if absent. */
std::string RawField(const std::string& head, const std::string& name);

}  // namespace qh::test
