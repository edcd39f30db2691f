#include "worker_faults.h"

#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {

void WorkerFaults::Read(const nlohmann::json& object) {
  ReadMember(object, "slow_factor", slow_factor);
  ReadMember(object, "fail_fast", fail_fast);
  ReadMember(object, "drain", drain);
  ReadMember(object, "drain_refuses", drain_refuses);
  ReadMember(object, "silent", silent);
  ReadMember(object, "cut_answers", cut_answers);
  ReadMember(object, "wrong_health", wrong_health);
  ReadMember(object, "cold_ms", cold_ms);
  ReadMember(object, "cold_factor", cold_factor);
  ReadMember(object, "restart_after_ms", restart_after_ms);
}

double WorkerFaults::ServiceFactor(Duration up_time) const noexcept {
  const std::int64_t up_ms = ToMillis(up_time);
  if (up_ms >= cold_ms) {
    return slow_factor;
  }
  const double remaining_cold_share = 1 - static_cast<double>(up_ms) / static_cast<double>(cold_ms);
  return slow_factor * (1 + (cold_factor - 1) * remaining_cold_share);
}

}  // namespace qh::standin
