#pragma once

#include <functional>
#include <memory>

#include "address_cache.h"
#include "arrival_plan.h"
#include "call_ledger.h"
#include "caller_clients.h"
#include "scenario.h"

namespace qh::load {

/** What all calls of a run share. */
struct LoadContext {
  net::EventLoop& loop;
  const Scenario& scenario;
  CallerClients& clients;
  AddressCache& addresses;
  standin::DelayedTasks& tasks;
};

/** Called once, when a call has ended. */
using CallEnded = std::function<void(CallRecord record)>;

/** Time that the caller waits beyond the call's deadline before it gives up an attempt. */
inline constexpr std::chrono::milliseconds kWaitBeyondDeadline{500};

/** Starts a call through the entry VMs. `intended` is the time that its latency counts from. */
void StartEntryCall(LoadContext& context, PlannedCall call, TimePoint intended, CallEnded on_ended);

/** Starts a call that goes straight to `worker`. */
void StartDirectCall(LoadContext& context, const PlannedCall& call, const IpEndpoint& worker,
                     TimePoint intended, CallEnded on_ended);

/** Returns the path of a call, whose query makes it distinct from all others. */
inline std::string PathOf(const MixEntry& mix, const PlannedCall& call) {
  return mix.path + "?call=" + call.id;
}

/** Returns the body of a call. */
inline std::string BodyOf(const MixEntry& mix, const PlannedCall& call) {
  std::string body = mix.IsKeyed() ? "order " + call.id + " " : "";
  body.resize(std::max(body.size(), mix.body_bytes), 'b');
  return body;
}

}  // namespace qh::load
