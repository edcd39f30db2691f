#include "worker_messages.h"

#include "quetzalhinge/messages/member_messages.h"

namespace qh::control {

void WriteWorkers(const std::vector<platform::VmRecord>& workers,
                  capnp::List<rpc::wire::Worker>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName(workers[i].name);
    list[i].setService(workers[i].service);
    list[i].setZone(workers[i].zone);
    list[i].setLeaving(workers[i].state == platform::VmState::kLeaving);
    messages::WriteEndpoint(workers[i].calls, list[i].initEndpoint());
  }
}

std::vector<platform::VmRecord> ReadWorkers(capnp::List<rpc::wire::Worker>::Reader list) {
  std::vector<platform::VmRecord> workers;
  for (const auto& item : list) {
    platform::VmRecord worker;
    worker.name = messages::ReadText(item.getName());
    worker.role = platform::VmRole::kWorker;
    worker.state = item.getLeaving() ? platform::VmState::kLeaving : platform::VmState::kLive;
    worker.service = messages::ReadText(item.getService());
    worker.zone = messages::ReadText(item.getZone());
    worker.calls = messages::ReadEndpoint(item.getEndpoint());
    workers.push_back(worker);
  }
  return workers;
}

}  // namespace qh::control
