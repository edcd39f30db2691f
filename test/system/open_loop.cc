#include "open_loop.h"

#include <algorithm>
#include <utility>

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{10};
/** Calls of a time in which this process itself did not run are not made up for. */
constexpr double kMostDue = 50;

}  // namespace

OpenLoop::OpenLoop(TestDeployment& deployment, int vms,
                   std::function<http::HttpRequest()> make_call)
    : m_deployment(deployment),
      m_make_call(std::move(make_call)),
      m_rates(vms, 0),
      m_due(vms, 0),
      m_timer(deployment.Loop(), [this] { Send(); }),
      m_last(deployment.Loop().Now()) {
  m_timer.StartRepeating(kInterval);
}

void OpenLoop::SetRates(std::vector<double> calls_per_second) {
  m_rates = std::move(calls_per_second);
}

bool OpenLoop::Drain() {
  m_rates.assign(m_rates.size(), 0);
  m_due.assign(m_due.size(), 0);
  return m_deployment.Until([this] { return m_ended == m_sent; });
}

void OpenLoop::Send() {
  const TimePoint now = m_deployment.Loop().Now();
  const std::chrono::duration<double> elapsed = now - std::exchange(m_last, now);
  for (std::size_t vm = 0; vm < m_rates.size(); ++vm) {
    m_due[vm] = std::min(kMostDue, m_due[vm] + m_rates[vm] * elapsed.count());
    for (; m_due[vm] >= 1; --m_due[vm]) {
      ++m_sent;
      m_deployment.SendLater(m_deployment.Callers(static_cast<int>(vm)), m_make_call(),
                             [this](const CallAnswer& answer) {
                               ++m_ended;
                               m_served += answer.status == 200 ? 1 : 0;
                             });
    }
  }
}

}  // namespace qh::test
