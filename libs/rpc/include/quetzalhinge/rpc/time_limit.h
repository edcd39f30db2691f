#pragma once

#include <kj/async.h>
#include <kj/debug.h>

#include <chrono>

#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/net/timer.h"

namespace qh::rpc {

/**
 * Returns a promise with the result of `promise`, which fails with an exception of type OVERLOADED
 * if `promise` has not completed within `limit`. `promise` is then cancelled.
 */
template <typename T>
kj::Promise<T> WithTimeLimit(net::EventLoop& loop, std::chrono::milliseconds limit,
                             kj::Promise<T> promise) {
  auto expiry = kj::newPromiseAndFulfiller<T>();
  // The timer refers to the fulfiller, so the attachments are ordered such that the timer is
  // destroyed first.
  auto timer = kj::heap<net::Timer>(loop, [fulfiller = expiry.fulfiller.get()] {
    fulfiller->reject(KJ_EXCEPTION(OVERLOADED, "no answer within the time limit"));
  });
  timer->StartOnce(limit);
  return promise.exclusiveJoin(
      expiry.promise.attach(kj::mv(timer)).attach(kj::mv(expiry.fulfiller)));
}

}  // namespace qh::rpc
