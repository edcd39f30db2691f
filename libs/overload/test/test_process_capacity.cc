#include <catch2/catch.hpp>

#include "quetzalhinge/overload/process_capacity.h"

namespace qh::overload {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
/** Largest request body on the shared platform. */
constexpr std::size_t kLargestBody = 64 * kMegabyte;
/** Other memory of a connection: its objects, and pipelined requests up to their limit and a read.
 */
constexpr std::size_t kConnectionBytes = 24 * 1024;
constexpr std::size_t kProgramBytes = 16 * kMegabyte;
constexpr std::size_t kOtherListeners = 3;

/** Returns the memory for the connections of a listener. Half as many wait to be accepted. */
std::size_t MemoryOf(const ListenerCapacity& capacity) {
  return capacity.max_connections * (capacity.receive_buffer_bytes + kConnectionBytes) +
         capacity.max_connections / 2 * capacity.receive_buffer_bytes;
}

}  // namespace

SCENARIO("What clients may use stays within the limits of the process") {
  const double memory_mb = GENERATE(32, 64, 160, 260, 512, 4096);
  const int descriptors = GENERATE(256, 400, 4100, 8192);
  CAPTURE(memory_mb, descriptors);
  const ProcessCapacity capacity = CapacityOf({memory_mb, descriptors});

  THEN("messages, connections and unread bytes together fit into the memory") {
    const std::size_t connections =
        MemoryOf(capacity.callers) + kOtherListeners * MemoryOf(capacity.others);
    CHECK(kProgramBytes + capacity.messages.max_bytes + connections <=
          static_cast<std::size_t>(memory_mb * kMegabyte));
  }
  THEN("a fifth of the sockets is left for workers, the store and other VMs") {
    const std::size_t sockets = static_cast<std::size_t>(descriptors) - 200;
    CHECK(capacity.callers.max_connections + kOtherListeners * capacity.others.max_connections <=
          sockets - sockets / 5);
  }
  THEN("small messages have memory of their own") {
    CHECK(capacity.messages.max_bytes_for_large_requests <
          capacity.messages.max_bytes_for_large_responses);
    CHECK(capacity.messages.max_bytes_for_large_responses < capacity.messages.max_bytes);
  }
}

SCENARIO("One body of the largest legal size fits into each VM of the shared platform") {
  for (const double memory_mb : {160, 260, 512}) {
    CHECK(CapacityOf({memory_mb, 4100}).messages.max_bytes_for_large_requests > kLargestBody);
  }
}

}  // namespace qh::overload
