#pragma once

#include <string>

namespace qh::gateway {

/** Lower-case names of the HTTP headers that callers and workers use. */
struct CallHeaders {
  /** Identifier of one attempt of a caller; workers echo it. */
  std::string request_id;
  /** Remaining time to the deadline of the sender, in milliseconds. */
  std::string time_left_ms;
  /** Signature with which a worker proves that it created the response. */
  std::string response_signature;
  /** Identifier of the only worker that may run the request. */
  std::string expected_worker;
  /** Identifier of the worker that sent the response. */
  std::string worker_id;
  /** Load of the worker that sent the response. */
  std::string worker_load;
  /** Present if the worker did not run the request. */
  std::string not_run;
  /** Requests a second that the worker accepts from all VMs together; absent without a limit. */
  std::string worker_limit;
};

}  // namespace qh::gateway
