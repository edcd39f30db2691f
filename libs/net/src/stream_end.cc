#include "stream_end.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <uv.h>

#include <cerrno>

namespace qh::net {
namespace {

/** Returns the pending error of a socket and clears it; 0 without one. */
int SocketError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
}

/** Returns whether no more packets are expected in either direction. */
bool IsClosed(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  // Where the kernel does not tell, the end that the last read has reported counts.
  return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

}  // namespace

int ErrorAtEndOfStream(int descriptor, const SendingSide& sending) {
  char byte = 0;
  const ssize_t unread = recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (unread < 0) {
    return uv_translate_sys_error(errno);
  }
  if (unread > 0) {
    return UV_EIO;
  }
  // The socket reports an error only once. After a write that has failed with it, reads report the
  // end as after a FIN.
  if (sending.write_error != 0 && sending.write_error != UV_EPIPE) {
    return sending.write_error;
  }
  // After a FIN the socket stays open for writing, unless this side has sent its own FIN.
  if (!IsClosed(descriptor) || sending.finished) {
    return 0;
  }
  // Only a reset closes it then. One that follows the peer's FIN causes EPIPE, not ECONNRESET.
  const bool reset_after_end = sending.write_error == UV_EPIPE || SocketError(descriptor) == EPIPE;
  return reset_after_end ? 0 : UV_ECONNRESET;
}

}  // namespace qh::net
