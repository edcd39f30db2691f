#include "quetzalhinge/gateway/crash_watch.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "quetzalhinge/gossip/crash_notices.h"
#include "quetzalhinge/logging/log.h"

namespace qh::gateway {

using quarantine::Fingerprint;

struct CrashWatch::Impl : public std::enable_shared_from_this<CrashWatch::Impl> {
  net::EventLoop& loop;
  WorkerLinks& links;
  PostNotice post_notice;
  quarantine::CrashSuspects suspects;
  std::map<std::string, std::vector<Fingerprint>> in_progress;
  /** Requests whose connection broke, by worker, until the probe of the worker has ended. */
  std::map<std::string, std::vector<Fingerprint>> awaiting_probe;

  Impl(net::EventLoop& event_loop, WorkerLinks& worker_links, PostNotice post)
      : loop(event_loop), links(worker_links), post_notice(std::move(post)) {}

  void RemoveInProgress(const std::string& worker, Fingerprint fingerprint) {
    const auto found = in_progress.find(worker);
    if (found == in_progress.end()) {
      return;
    }
    std::vector<Fingerprint>& running = found->second;
    const auto position = std::find(running.begin(), running.end(), fingerprint);
    if (position != running.end()) {
      running.erase(position);
    }
    if (running.empty()) {
      in_progress.erase(found);
    }
  }

  void OnProbeEnded(const std::string& worker, bool is_healthy) {
    std::vector<Fingerprint> lost_requests = std::exchange(awaiting_probe[worker], {});
    awaiting_probe.erase(worker);
    if (is_healthy) {
      return;
    }
    const auto running = in_progress.find(worker);
    if (running != in_progress.end()) {
      lost_requests.insert(lost_requests.end(), running->second.begin(), running->second.end());
    }
    logging::LogDecision("worker", "unreachable with requests in progress",
                         {{"worker", worker}, {"requests", std::to_string(lost_requests.size())}});
    PostNotices(suspects.OnWorkerLost(worker, lost_requests, loop.Now()));
  }

  void PostNotices(const quarantine::CrashFindings& findings) {
    for (const membership::Notice& notice : gossip::ToNotices(findings, UnixNow())) {
      post_notice(notice);
    }
  }
};

CrashWatch::CrashWatch(net::EventLoop& loop, WorkerLinks& links, PostNotice post_notice)
    : m_impl(std::make_shared<Impl>(loop, links, std::move(post_notice))) {}
CrashWatch::~CrashWatch() = default;

void CrashWatch::OnSent(const std::string& worker, Fingerprint fingerprint) {
  m_impl->in_progress[worker].push_back(fingerprint);
}

void CrashWatch::OnEnded(const std::string& worker, Fingerprint fingerprint, bool succeeded) {
  m_impl->RemoveInProgress(worker, fingerprint);
  if (succeeded) {
    m_impl->PostNotices(m_impl->suspects.OnSucceeded(fingerprint, m_impl->loop.Now()));
  }
}

void CrashWatch::OnConnectionBroken(const std::string& worker, Fingerprint fingerprint) {
  m_impl->RemoveInProgress(worker, fingerprint);
  std::vector<Fingerprint>& awaiting = m_impl->awaiting_probe[worker];
  awaiting.push_back(fingerprint);
  if (awaiting.size() > 1) {
    return;
  }
  m_impl->links.ProbeOnNewConnection(worker,
                                     [weak = std::weak_ptr<Impl>(m_impl), worker](bool is_healthy) {
                                       if (const auto self = weak.lock()) {
                                         self->OnProbeEnded(worker, is_healthy);
                                       }
                                     });
}

void CrashWatch::OnNotice(const membership::Notice& notice) {
  for (const membership::Notice& follow_up :
       gossip::ApplyCrashNotice(m_impl->suspects, notice, m_impl->loop.Now(), UnixNow())) {
    m_impl->post_notice(follow_up);
  }
}

std::optional<Duration> CrashWatch::QuarantineLeft(Fingerprint fingerprint) const {
  return m_impl->suspects.QuarantineLeft(fingerprint, m_impl->loop.Now());
}

}  // namespace qh::gateway
