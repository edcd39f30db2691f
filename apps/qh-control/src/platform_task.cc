#include "platform_task.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"
#include "table_keys.h"

namespace qh::control {
namespace {

using std::chrono::milliseconds;

constexpr int kHeadReadsPerSecond = 10;
constexpr milliseconds kMinHeadInterval{1000};
constexpr milliseconds kMaxHeadInterval{30000};
constexpr std::size_t kVmListBytesPerSecond = 2048;
constexpr int kMillisPerSecond = 1000;

/** Relative jitter of the intervals, so that VMs started together do not read at the same time. */
constexpr double kJitterFraction = 0.1;

}  // namespace

milliseconds HeadInterval(int vm_count) {
  return std::clamp(milliseconds(vm_count * kMillisPerSecond / kHeadReadsPerSecond),
                    kMinHeadInterval, kMaxHeadInterval);
}

milliseconds VmListInterval(milliseconds configured, std::size_t vm_list_bytes) {
  return std::max(configured,
                  milliseconds(vm_list_bytes * kMillisPerSecond / kVmListBytesPerSecond));
}

struct PlatformTask::Impl {
  ControlContext& context;
  PlatformObserver& observer;
  platform::PlatformClient client;
  ContractTableReader reader;
  net::Timer vm_list_timer;
  net::Timer head_timer;
  std::size_t vm_list_bytes = 0;
  bool reachable = true;
  bool head_read_in_flight = false;

  Impl(ControlContext& process_context, PlatformObserver& platform_observer)
      : context(process_context),
        observer(platform_observer),
        client(context.loop, {context.settings.platform, context.settings.platform_timeout}),
        reader(client),
        vm_list_timer(context.loop, [this] { ReadVmList(); }),
        head_timer(context.loop, [this] { ReadHead(); }) {}

  void ReadVmList() {
    client.ReadVmList([this](const Result<platform::VmList>& list) {
      UpdateReachability(list);
      if (IsOk(list)) {
        vm_list_bytes = ValueOf(list).bytes;
        observer.OnVmList(ValueOf(list));
      }
      vm_list_timer.StartOnce(
          WithJitter(VmListInterval(context.settings.vm_list_interval, vm_list_bytes)));
    });
  }

  void ReadHead() {
    head_read_in_flight = true;
    const TimePoint requested_at = context.loop.Now();
    client.ReadRow(kHeadKey, [this, requested_at](const auto& row) {
      head_read_in_flight = false;
      UpdateReachability(row);
      const Result<contract::Revision> newest =
          IsOk(row) ? RevisionFromHeadRow(ValueOf(row)) : Result<contract::Revision>(ErrorOf(row));
      if (IsOk(newest)) {
        observer.OnHead(ValueOf(newest), requested_at);
      }
      head_timer.StartOnce(WithJitter(HeadInterval(context.settings.vm_count)));
    });
  }

  template <typename T>
  void UpdateReachability(const Result<T>& result) {
    if (IsOk(result) == reachable) {
      return;
    }
    reachable = !reachable;
    context.events.Add(reachable ? "platform_reachable" : "platform_unreachable", {});
    if (reachable) {
      logging::LogChange("platform", "reachable again",
                         {{"peer", ToString(context.settings.platform)}});
    } else {
      logging::LogError("platform", ErrorOf(result));
    }
  }

  milliseconds WithJitter(milliseconds interval) {
    std::uniform_real_distribution<double> factor(1 - kJitterFraction, 1 + kJitterFraction);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(interval.count()) * factor(context.random)));
  }
};

PlatformTask::PlatformTask(ControlContext& context, PlatformObserver& observer)
    : m_impl(std::make_unique<Impl>(context, observer)) {}
PlatformTask::~PlatformTask() = default;

void PlatformTask::Start() {
  m_impl->ReadVmList();
  m_impl->ReadHead();
}

void PlatformTask::ReadHeadNow() {
  if (!m_impl->head_read_in_flight) {
    m_impl->head_timer.Stop();
    m_impl->ReadHead();
  }
}

void PlatformTask::ReadContractsSince(contract::Revision revision, contract::Revision newest,
                                      ContractTableReader::UpdateCallback callback) {
  m_impl->reader.ReadSince(revision, newest, std::move(callback));
}

void PlatformTask::ReadHistory(const std::string& customer,
                               ContractTableReader::HistoryCallback callback) {
  m_impl->reader.ReadHistory(customer, std::move(callback));
}

void PlatformTask::Submit(ContractCommand command, ContractAcceptance::Callback callback) {
  ContractAcceptance::Start(m_impl->context.loop, m_impl->client, std::move(command),
                            std::move(callback));
}

void PlatformTask::UpdateMetrics() {
  const platform::PlatformTraffic& traffic = m_impl->client.Traffic();
  metrics::MetricsRegistry& metrics = m_impl->context.metrics;
  const auto update_counter = [&](const char* name, const char* labels, std::uint64_t total) {
    metrics::Counter& counter = metrics.CounterOf(name, labels);
    counter.Add(total - counter.Value());
  };
  update_counter("qh_control_messages_total", "kind=\"platform\",direction=\"sent\"",
                 traffic.requests);
  update_counter("qh_control_messages_total", "kind=\"platform\",direction=\"received\"",
                 traffic.requests - traffic.failures);
  update_counter("qh_control_bytes_total", "kind=\"platform\",direction=\"sent\"",
                 traffic.bytes_sent);
  update_counter("qh_control_bytes_total", "kind=\"platform\",direction=\"received\"",
                 traffic.bytes_received);
  update_counter("qh_control_platform_failures_total", "", traffic.failures);
}

}  // namespace qh::control
