#pragma once

namespace qh::net {

/** What happened to the sending side of a connection before its peer's bytes ended. */
struct SendingSide {
  /** Whether it was closed on purpose. */
  bool finished = false;
  /** libuv's error code of the first write that failed; 0 without one. */
  int write_error = 0;
};

/**
 * Tells how the bytes that `descriptor` receives have ended, after libuv has reported UV_EOF. libuv
 * reports it not only after a FIN: after a read that did not fill its buffer, it takes any hang-up
 * of the socket for the end.
 * @return 0 if the peer has closed its sending side, else libuv's code of the error that has ended
 *         the connection, such as UV_ECONNRESET; UV_EIO if there are bytes that were not read
 */
int ErrorAtEndOfStream(int descriptor, const SendingSide& sending);

}  // namespace qh::net
