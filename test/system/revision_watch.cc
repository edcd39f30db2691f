#include "revision_watch.h"

#include <utility>

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{50};
constexpr milliseconds kResponseTimeout{1000};

}  // namespace

RevisionWatch::RevisionWatch(TestDeployment& deployment, int vms, std::string customer,
                             std::string service)
    : m_deployment(deployment),
      m_vms(vms),
      m_path("/v1/addresses?service=" + std::move(service) + "&customer=" + std::move(customer)),
      m_timer(deployment.Loop(), [this] { Poll(); }) {
  m_timer.StartRepeating(kPollInterval);
}

void RevisionWatch::Poll() {
  for (int vm = 0; vm < m_vms; ++vm) {
    if (std::exchange(m_request_pending[vm], true)) {
      continue;
    }
    m_deployment.SendAsync(
        m_deployment.Callers(vm), {"GET", m_path, {}, ""},
        [this, vm](const CallResponse& response) { OnResponse(vm, response); }, kResponseTimeout);
  }
}

void RevisionWatch::OnResponse(int vm, const CallResponse& response) {
  m_request_pending[vm] = false;
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !body.is_object()) {
    return;
  }
  ++m_response_count;
  const auto revision = body.value("revision", std::uint64_t{0});
  if (revision < m_latest_revision[vm]) {
    m_regressions.push_back("VM " + std::to_string(vm) + " went from revision " +
                            std::to_string(m_latest_revision[vm]) + " to " +
                            std::to_string(revision));
  }
  m_latest_revision[vm] = revision;
}

}  // namespace qh::test
