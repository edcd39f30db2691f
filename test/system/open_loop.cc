#include "open_loop.h"

#include <algorithm>
#include <utility>

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{10};
/** Limit of the backlog per VM, so that a pause of this process does not cause a burst of calls. */
constexpr double kMaxDueCalls = 50;

}  // namespace

OpenLoop::OpenLoop(TestDeployment& deployment, int vms,
                   std::function<http::HttpRequest()> make_call)
    : m_deployment(deployment),
      m_make_call(std::move(make_call)),
      m_rates(vms, 0),
      m_due_calls(vms, 0),
      m_timer(deployment.Loop(), [this] { Send(); }),
      m_last_send(deployment.Loop().Now()) {
  m_timer.StartRepeating(kInterval);
}

void OpenLoop::SetRates(std::vector<double> calls_per_second) {
  m_rates = std::move(calls_per_second);
}

bool OpenLoop::Drain() {
  m_rates.assign(m_rates.size(), 0);
  m_due_calls.assign(m_due_calls.size(), 0);
  return m_deployment.WaitUntil([this] { return m_completed == m_sent; });
}

void OpenLoop::Send() {
  const TimePoint now = m_deployment.Loop().Now();
  const std::chrono::duration<double> elapsed = now - std::exchange(m_last_send, now);
  for (std::size_t vm = 0; vm < m_rates.size(); ++vm) {
    m_due_calls[vm] = std::min(kMaxDueCalls, m_due_calls[vm] + m_rates[vm] * elapsed.count());
    for (; m_due_calls[vm] >= 1; --m_due_calls[vm]) {
      ++m_sent;
      m_deployment.SendAsync(m_deployment.Callers(static_cast<int>(vm)), m_make_call(),
                             [this](const CallResponse& response) {
                               ++m_completed;
                               m_served += response.status == 200 ? 1 : 0;
                             });
    }
  }
}

}  // namespace qh::test
