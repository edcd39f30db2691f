#include "quetzalhinge/gossip/gossip_task.h"

#include <set>
#include <utility>

#include "quetzalhinge/gossip/gossip_codec.h"
#include "quetzalhinge/gossip/pause_detector.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/membership/notice_board.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/net/udp_socket.h"

namespace qh::gossip {
namespace {

using membership::GossipMessage;
using membership::MemberRecord;
using membership::Notice;
using membership::PlannedMessage;

/**
 * Long enough to outlast lost and delayed messages. The sender's record in each message carries the
 * revision too.
 */
constexpr std::chrono::milliseconds kRevisionNoticeLifetime{10000};

Notice RevisionNotice(const std::string& subject, std::uint64_t revision) {
  Notice notice;
  notice.kind = membership::NoticeKind::kContractRevision;
  notice.subject = subject;
  notice.value = revision;
  notice.stamp_us = UnixNow();
  notice.lifetime = kRevisionNoticeLifetime;
  return notice;
}

/** Number of gossip intervals without any activity after which the process counts as paused. */
constexpr int kPauseThresholdRounds = 4;

membership::GossipOptions WithEnvelope(membership::GossipOptions options, std::size_t name_bytes) {
  options.envelope_bytes = auth::MessageAuthenticator::OverheadBytes(name_bytes);
  return options;
}

}  // namespace

struct GossipTask::Impl {
  net::EventLoop& loop;
  RandomGenerator& random;
  metrics::MetricsRegistry& metrics;
  GossipTaskOptions options;
  GossipObserver& observer;
  membership::GossipPlanner planner;
  membership::MemberTable table;
  membership::NoticeBoard board;
  auth::MessageAuthenticator authenticator;
  net::UdpSocket socket;
  net::Timer timer;
  PauseDetector pauses;
  std::set<std::string> active_members;

  Impl(net::EventLoop& event_loop, RandomGenerator& generator, metrics::MetricsRegistry& registry,
       const GossipTaskOptions& task_options, GossipObserver& gossip_observer)
      : loop(event_loop),
        random(generator),
        metrics(registry),
        options(task_options),
        observer(gossip_observer),
        planner(WithEnvelope(options.gossip, options.self.vm.size())),
        table(options.self, options.table),
        // Validation of the settings rejects keys that are too short.
        authenticator(TakeValue(
            auth::MessageAuthenticator::Create({options.deployment_key}, options.authenticator))),
        socket(loop, [this](const IpEndpoint&, std::string_view data) { Receive(data); }),
        timer(loop, [this] { RunRound(); }),
        pauses(loop.Now(), options.gossip.interval * kPauseThresholdRounds) {
    table.SetSeeds(options.seeds);
  }

  metrics::Counter& CounterOf(const char* name, const char* direction) {
    return metrics.CounterOf(name, "kind=\"gossip\",direction=\"" + std::string(direction) + "\"");
  }

  void DetectPause() {
    const Duration pause = pauses.Observe(loop.Now());
    if (pause > Duration{}) {
      logging::LogChange("process", "resumed", {{"pause_ms", std::to_string(ToMillis(pause))}});
    }
  }

  void RunRound() {
    DetectPause();
    board.Expire(UnixNow());
    const auto planned = planner.PlanRound(table, board, loop.Now(), UnixNow(), random);
    if (planned.has_value()) {
      Send(*planned);
    }
    ReportActivityChanges();
  }

  /** Reports members that have become active or inactive since the last call. */
  void ReportActivityChanges() {
    std::set<std::string> now_active;
    for (const membership::Member* member : table.ActiveMembers(loop.Now())) {
      now_active.insert(member->record.vm);
    }
    if (now_active != active_members) {
      for (const std::string& vm : now_active) {
        if (active_members.count(vm) == 0) {
          observer.OnMemberActiveChanged(vm, true);
        }
      }
      for (const std::string& vm : active_members) {
        if (now_active.count(vm) == 0) {
          observer.OnMemberActiveChanged(vm, false);
        }
      }
      active_members = std::move(now_active);
      metrics.GaugeOf("qh_control_members_heard").Set(static_cast<double>(active_members.size()));
      observer.OnMembersChanged();
    }
  }

  void Send(const PlannedMessage& planned) {
    const std::string datagram =
        authenticator.Seal(options.self.vm, EncodeGossip(planned.message), UnixNow());
    CounterOf("qh_control_messages_total", "sent").Add();
    CounterOf("qh_control_bytes_total", "sent").Add(datagram.size());
    if (datagram.size() > options.gossip.max_datagram_bytes) {
      metrics.CounterOf("qh_control_gossip_oversized_total").Add();
    }
    if (!socket.Send(planned.to, datagram)) {
      metrics.CounterOf("qh_control_gossip_send_failures_total").Add();
    }
  }

  void Forward(const std::vector<Notice>& notices) {
    SendAll(planner.PlanForward(table, notices, loop.Now(), random));
  }

  void SendAll(const std::vector<PlannedMessage>& messages) {
    for (const PlannedMessage& planned : messages) {
      Send(planned);
    }
  }

  void Receive(std::string_view data) {
    DetectPause();
    CounterOf("qh_control_messages_total", "received").Add();
    CounterOf("qh_control_bytes_total", "received").Add(data.size());
    const auto opened = authenticator.Open(data, UnixNow());
    if (!IsOk(opened)) {
      CountRefused(ErrorOf(opened).code);
      return;
    }
    const auto message = DecodeGossip(ValueOf(opened).payload);
    if (!IsOk(message)) {
      CountRefused(ErrorOf(message).code);
      return;
    }
    if (ValueOf(message).sender.vm != ValueOf(opened).sender) {
      CountRefused(ErrorCode::kUnauthenticated);
      return;
    }
    HandleMessage(ValueOf(message), loop.Now() - ValueOf(opened).age);
  }

  void CountRefused(ErrorCode code) {
    metrics
        .CounterOf("qh_control_gossip_refused_total",
                   "reason=\"" + std::string(ToString(code)) + "\"")
        .Add();
  }

  void HandleMessage(const GossipMessage& message, TimePoint observed_at) {
    const TimePoint now = loop.Now();
    const auto receipt =
        planner.Receive(message, table, board, now, UnixNow(), pauses.MaxQueueDelay(now));
    if (receipt.is_sender_behind) {
      SendAll(planner.PlanJoinReply(table, message.sender.endpoints.gossip, loop.Now(), random));
    }
    observer.OnPeerMessage(message.sender, observed_at);
    if (!receipt.fresh_notices.empty()) {
      Forward(receipt.fresh_notices);
      for (const Notice& notice : receipt.fresh_notices) {
        observer.OnFreshNotice(notice);
      }
    }
    ReportActivityChanges();
    if (!receipt.changed_members.empty()) {
      observer.OnMembersChanged();
    }
  }
};

GossipTask::GossipTask(net::EventLoop& loop, RandomGenerator& random,
                       metrics::MetricsRegistry& metrics, const GossipTaskOptions& options,
                       GossipObserver& observer)
    : m_impl(std::make_unique<Impl>(loop, random, metrics, options, observer)) {}
GossipTask::~GossipTask() = default;

Result<Success> GossipTask::Start() {
  const auto bound = m_impl->socket.Bind(m_impl->options.self.endpoints.gossip);
  if (IsOk(bound)) {
    m_impl->timer.StartRepeating(m_impl->options.gossip.interval);
    m_impl->RunRound();
  }
  return bound;
}

void GossipTask::SetListedPeers(const std::vector<IpEndpoint>& peers) {
  std::vector<IpEndpoint> seeds = m_impl->options.seeds;
  seeds.insert(seeds.end(), peers.begin(), peers.end());
  m_impl->table.SetSeeds(seeds);
}

void GossipTask::SetVmCount(std::size_t vm_count) { m_impl->table.SetVmCount(vm_count); }

void GossipTask::SetOwnState(membership::MemberState state, const std::string& entry_incarnation) {
  const MemberRecord& self = m_impl->table.Self();
  if (self.state == state && self.entry_incarnation == entry_incarnation) {
    return;
  }
  m_impl->table.SetOwnState(state, entry_incarnation);
  m_impl->observer.OnOwnStateChanged(state);
  m_impl->Forward({});
}

void GossipTask::SetOwnRevision(std::uint64_t revision) {
  if (revision > m_impl->table.Self().revision) {
    m_impl->table.SetOwnRevision(revision);
  }
}

void GossipTask::AnnounceOwnRevision(std::uint64_t revision) {
  if (revision <= m_impl->table.Self().revision) {
    return;
  }
  m_impl->table.SetOwnRevision(revision);
  Post(RevisionNotice("", revision));
}

void GossipTask::AnnounceTableRevision(const std::string& table, std::uint64_t revision) {
  Post(RevisionNotice(table, revision));
}

bool GossipTask::Post(const Notice& notice) {
  const bool is_new = m_impl->board.Post(notice, UnixNow(), m_impl->table.TransmitLimit()) ==
                      membership::NoticeOutcome::kNew;
  if (is_new) {
    m_impl->Forward({notice});
  }
  return is_new;
}

const membership::MemberTable& GossipTask::Members() const noexcept { return m_impl->table; }

std::vector<Notice> GossipTask::Notices() const {
  std::vector<Notice> notices;
  for (const membership::PostedNotice* posted : m_impl->board.Notices()) {
    notices.push_back(posted->notice);
  }
  return notices;
}

}  // namespace qh::gossip
