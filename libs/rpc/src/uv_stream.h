#pragma once

#include <kj/async-io.h>
#include <uv.h>

#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::rpc {

/**
 * Returns a KJ stream on an open libuv TCP handle. The handle must have been allocated with `new`;
 * the stream takes ownership of it.
 */
kj::Own<kj::AsyncIoStream> MakeUvStream(uv_tcp_t* handle);

/** Connects to `peer`; the promise is rejected if connecting fails. */
kj::Promise<kj::Own<kj::AsyncIoStream>> ConnectUvStream(uv_loop_t* loop, const IpEndpoint& peer);

/** Closes and deletes a libuv TCP handle that was allocated with `new`. */
void CloseTcpHandle(uv_tcp_t* handle);

}  // namespace qh::rpc
