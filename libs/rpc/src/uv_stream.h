#pragma once

#include <kj/async-io.h>
#include <uv.h>

#include <cstddef>
#include <limits>
#include <memory>

#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::rpc {

/** Number of bytes after which a stream ends, unless it is raised before. */
struct ReceiveLimit {
  std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
};

/**
 * Returns a KJ stream on an open libuv TCP handle. The handle must have been allocated with `new`;
 * the stream takes ownership of it.
 * @param limit null without a limit on the received bytes
 */
kj::Own<kj::AsyncIoStream> MakeUvStream(uv_tcp_t* handle,
                                        std::shared_ptr<const ReceiveLimit> limit = nullptr);

/** Connects to `peer`; the promise is rejected if connecting fails. */
kj::Promise<kj::Own<kj::AsyncIoStream>> ConnectUvStream(uv_loop_t* loop, const IpEndpoint& peer);

/** Closes and deletes a libuv TCP handle that was allocated with `new`. */
void CloseTcpHandle(uv_tcp_t* handle);

}  // namespace qh::rpc
