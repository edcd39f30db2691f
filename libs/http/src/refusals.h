#pragma once

#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/http/message_reader.h"

namespace qh::http {

/** Returns why a request with `fault` is rejected. */
Refusal RefusalOf(ReadFault fault);

/** Counts a rejected request. */
void CountRefusal(Refusal refusal, RefusalCounts& refused);

}  // namespace qh::http
