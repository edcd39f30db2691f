#pragma once

#include <functional>
#include <memory>

#include "address_cache.h"
#include "arrival_plan.h"
#include "call_ledger.h"
#include "caller_clients.h"
#include "scenario.h"

namespace qh::load {

/** Objects shared by all calls of a run. */
struct LoadContext {
  net::EventLoop& loop;
  const Scenario& scenario;
  CallerClients& clients;
  AddressCache& addresses;
  standin::DelayedTasks& tasks;
};

/** Called exactly once when a call has completed. */
using CallEndedCallback = std::function<void(CallRecord record)>;

/** Time after the deadline of a call at which the caller aborts an attempt. */
inline constexpr std::chrono::milliseconds kDeadlineGrace{500};

/** Starts a call through the entry VMs. Its latency is measured from `intended`. */
void StartEntryCall(LoadContext& context, PlannedCall call, TimePoint intended,
                    CallEndedCallback on_ended);

/** Starts a call directly to `worker`. Its latency is measured from `intended`. */
void StartDirectCall(LoadContext& context, const PlannedCall& call, const IpEndpoint& worker,
                     TimePoint intended, CallEndedCallback on_ended);

/** Returns the path of a call, with a query that is unique to the call. */
inline std::string PathOf(const MixEntry& mix, const PlannedCall& call) {
  return mix.path + "?call=" + call.id;
}

/** Returns the body of a call, padded to body_bytes; that of a keyed call contains its id. */
inline std::string BodyOf(const MixEntry& mix, const PlannedCall& call) {
  std::string body = mix.IsKeyed() ? "order " + call.id + " " : "";
  body.resize(std::max(body.size(), mix.body_bytes), 'b');
  return body;
}

}  // namespace qh::load
