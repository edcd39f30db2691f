#include "revision_watch.h"

#include <utility>

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{50};
constexpr milliseconds kAnswerLimit{1000};

}  // namespace

RevisionWatch::RevisionWatch(TestDeployment& deployment, int vms, std::string customer,
                             std::string service)
    : m_deployment(deployment),
      m_vms(vms),
      m_path("/v1/addresses?service=" + std::move(service) + "&customer=" + std::move(customer)),
      m_timer(deployment.Loop(), [this] { Ask(); }) {
  m_timer.StartRepeating(kInterval);
}

void RevisionWatch::Ask() {
  for (int vm = 0; vm < m_vms; ++vm) {
    if (std::exchange(m_waiting[vm], true)) {
      continue;
    }
    m_deployment.SendLater(
        m_deployment.Callers(vm), {"GET", m_path, {}, ""},
        [this, vm](const CallAnswer& answer) { Take(vm, answer); }, kAnswerLimit);
  }
}

void RevisionWatch::Take(int vm, const CallAnswer& answer) {
  m_waiting[vm] = false;
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || !body.is_object()) {
    return;
  }
  ++m_answers;
  const auto revision = body.value("revision", std::uint64_t{0});
  if (revision < m_newest[vm]) {
    m_steps_back.push_back("VM " + std::to_string(vm) + " went from revision " +
                           std::to_string(m_newest[vm]) + " to " + std::to_string(revision));
  }
  m_newest[vm] = revision;
}

}  // namespace qh::test
