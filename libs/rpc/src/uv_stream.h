#pragma once

#include <kj/async-io.h>
#include <uv.h>

#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::rpc {

/** Returns a KJ stream over an open libuv TCP handle, which must come from `new` and is taken over.
 */
kj::Own<kj::AsyncIoStream> MakeUvStream(uv_tcp_t* handle);

/** Connects to `peer`; the promise fails if the connection is refused. */
kj::Promise<kj::Own<kj::AsyncIoStream>> ConnectUvStream(uv_loop_t* loop, const IpEndpoint& peer);

/** Closes and frees a libuv TCP handle that came from `new`. */
void CloseTcpHandle(uv_tcp_t* handle);

}  // namespace qh::rpc
