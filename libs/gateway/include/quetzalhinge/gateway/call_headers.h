#pragma once

#include <string>

namespace qh::gateway {

/** Names of the headers that callers and workers use, in lower case. */
struct CallHeaders {
  /** Identifies one attempt of a caller; workers echo it. */
  std::string request_id;
  /** Milliseconds that the sender will wait. */
  std::string time_left_ms;
  /** The worker's proof that it made the response. */
  std::string response_signature;
  /** Identity of the only worker that may run the request. */
  std::string expected_worker;
  /** Identity of the worker that answers. */
  std::string worker_id;
  /** Load of the worker that answers. */
  std::string worker_load;
  /** Present if the worker did not run the request. */
  std::string not_run;
};

}  // namespace qh::gateway
