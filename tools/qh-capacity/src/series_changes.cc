#include <capnp/message.h>
#include <capnp/serialize.h>
#include <processes.capnp.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "all_series.h"
#include "process_usage.h"
#include "quetzalhinge/contract/contract_book.h"
#include "samples.h"

namespace qh::capacity {
namespace {

const std::vector<std::size_t> kChangeCounts{100, 200, 400, 800};

/** Encoded size of a message in bytes. */
double EncodedSize(capnp::MessageBuilder& message) {
  return static_cast<double>(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
}

std::vector<std::string> ChangeTexts(std::size_t count) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < count; ++i) {
    texts.push_back(contract::ToJson(SampleChange(i + 1, i)).dump());
  }
  return texts;
}

double JsonBytes(std::size_t changes) {
  double bytes = 0;
  for (const std::string& text : ChangeTexts(changes)) {
    bytes += static_cast<double>(text.size());
  }
  return bytes;
}

void WriteChanges(const std::vector<std::string>& texts,
                  rpc::wire::ContractChanges::Builder changes) {
  changes.setRevision(texts.size());
  auto list = changes.initChanges(static_cast<unsigned>(texts.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setRevision(i + 1);
    list[i].setJson(texts[i]);
  }
}

/** The answer of ControlPeer.changesSince, without the RPC envelope. */
double RpcBytes(std::size_t changes) {
  capnp::MallocMessageBuilder message;
  WriteChanges(ChangeTexts(changes), message.initRoot<rpc::wire::ContractChanges>());
  return EncodedSize(message);
}

double EncodeMicros(std::size_t changes) {
  std::vector<contract::ContractChange> list;
  for (std::size_t i = 0; i < changes; ++i) {
    list.push_back(SampleChange(i + 1, i));
  }
  return MicrosOf([&] {
    for (const contract::ContractChange& change : list) {
      KeepResult(contract::ToJson(change).dump());
    }
  });
}

/** Parses and applies changes to a book of 1,000 contracts. */
double ApplyMicros(std::size_t changes) {
  constexpr std::size_t kCustomers = 1000;
  contract::ContractBook book;
  book.ApplySnapshot(SampleSnapshot(kCustomers));
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < changes; ++i) {
    texts.push_back(contract::ToJson(SampleChange(kCustomers + i + 1, i)).dump());
  }
  return MicrosOf([&] {
    for (const std::string& text : texts) {
      auto change = contract::ContractChangeFromJson(nlohmann::json::parse(text));
      book.Apply(TakeValue(std::move(change)));
    }
  });
}

void WriteWorkers(std::size_t count, rpc::wire::View::Builder view) {
  const auto workers = SampleWorkers(count);
  auto list = view.initWorkers(static_cast<unsigned>(count));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName("w-" + std::to_string(i));
    list[i].setService(workers[i].service);
    list[i].setZone(workers[i].zone);
    list[i].initEndpoint().setIp(workers[i].endpoint.ip);
    list[i].getEndpoint().setPort(workers[i].endpoint.port);
  }
}

double ViewWorkerBytes(std::size_t workers) {
  capnp::MallocMessageBuilder message;
  WriteWorkers(workers, message.initRoot<rpc::wire::View>());
  return EncodedSize(message);
}

double ViewWorkerMicros(std::size_t workers) {
  return MicrosOf([&] {
    capnp::MallocMessageBuilder message;
    WriteWorkers(workers, message.initRoot<rpc::wire::View>());
    KeepResult(capnp::messageToFlatArray(message));
  });
}

/** The platform's VM list in JSON, one row a worker (docs/interfaces.md). */
std::string VmListText(std::size_t count) {
  nlohmann::json rows = nlohmann::json::array();
  for (const routing::WorkerInfo& worker : SampleWorkers(count)) {
    rows.push_back({{"name", worker.id},
                    {"role", "worker"},
                    {"service", worker.service},
                    {"zone", worker.zone},
                    {"ip", worker.endpoint.ip},
                    {"port", worker.endpoint.port},
                    {"state", "live"}});
  }
  return nlohmann::json{{"vms", std::move(rows)}}.dump();
}

double VmListBytes(std::size_t workers) { return static_cast<double>(VmListText(workers).size()); }

double VmListParseMicros(std::size_t workers) {
  const std::string text = VmListText(workers);
  return MicrosOf([&] { KeepResult(nlohmann::json::parse(text)); });
}

}  // namespace

std::vector<Series> ChangeSeries() {
  const std::vector<std::size_t> worker_counts{512, 1024, 2048, 4096};
  return {{"change.json_size", "change", "B", kChangeCounts, JsonBytes},
          {"change.rpc_size", "change", "B", kChangeCounts, RpcBytes},
          {"change.encode", "change", "us", kChangeCounts, EncodeMicros},
          {"change.apply", "change", "us", kChangeCounts, ApplyMicros},
          {"view.worker_size", "worker", "B", worker_counts, ViewWorkerBytes},
          {"view.worker_encode", "worker", "us", worker_counts, ViewWorkerMicros},
          {"vm_list.json_size", "VM", "B", worker_counts, VmListBytes},
          {"vm_list.parse", "VM", "us", worker_counts, VmListParseMicros}};
}

}  // namespace qh::capacity
