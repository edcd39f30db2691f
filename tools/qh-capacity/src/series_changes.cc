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

/** Returns the encoded size of a message in bytes. */
double EncodedSize(capnp::MessageBuilder& message) {
  return static_cast<double>(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
}

std::vector<std::string> EncodedChanges(std::size_t count) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < count; ++i) {
    texts.push_back(contract::ToJson(SampleChange(i + 1, i)).dump());
  }
  return texts;
}

double ChangeJsonBytes(std::size_t changes) {
  double bytes = 0;
  for (const std::string& text : EncodedChanges(changes)) {
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

/** Encoded size of a response of ControlPeer.changesSince, without the RPC envelope. */
double ChangeRpcBytes(std::size_t changes) {
  capnp::MallocMessageBuilder message;
  WriteChanges(EncodedChanges(changes), message.initRoot<rpc::wire::ContractChanges>());
  return EncodedSize(message);
}

double EncodeChangeMicros(std::size_t changes) {
  std::vector<contract::ContractChange> list;
  for (std::size_t i = 0; i < changes; ++i) {
    list.push_back(SampleChange(i + 1, i));
  }
  return MeasureCpuMicros([&] {
    for (const contract::ContractChange& change : list) {
      DoNotOptimize(contract::ToJson(change).dump());
    }
  });
}

/** Time to parse changes and apply them to a book of 1,000 contracts. */
double ApplyChangeMicros(std::size_t changes) {
  constexpr std::size_t kCustomers = 1000;
  contract::ContractBook book;
  book.ApplySnapshot(SampleSnapshot(kCustomers));
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < changes; ++i) {
    texts.push_back(contract::ToJson(SampleChange(kCustomers + i + 1, i)).dump());
  }
  return MeasureCpuMicros([&] {
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
  return MeasureCpuMicros([&] {
    capnp::MallocMessageBuilder message;
    WriteWorkers(workers, message.initRoot<rpc::wire::View>());
    DoNotOptimize(capnp::messageToFlatArray(message));
  });
}

/** Returns the platform's VM list as JSON with one row per worker (docs/interfaces.md). */
std::string VmListJson(std::size_t count) {
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

double VmListBytes(std::size_t workers) { return static_cast<double>(VmListJson(workers).size()); }

double VmListParseMicros(std::size_t workers) {
  const std::string text = VmListJson(workers);
  return MeasureCpuMicros([&] { DoNotOptimize(nlohmann::json::parse(text)); });
}

}  // namespace

std::vector<Series> ChangeSeries() {
  const std::vector<std::size_t> worker_counts{512, 1024, 2048, 4096};
  return {{"change.json_size", "change", "B", kChangeCounts, ChangeJsonBytes},
          {"change.rpc_size", "change", "B", kChangeCounts, ChangeRpcBytes},
          {"change.encode", "change", "us", kChangeCounts, EncodeChangeMicros},
          {"change.apply", "change", "us", kChangeCounts, ApplyChangeMicros},
          {"view.worker_size", "worker", "B", worker_counts, ViewWorkerBytes},
          {"view.worker_encode", "worker", "us", worker_counts, ViewWorkerMicros},
          {"vm_list.json_size", "VM", "B", worker_counts, VmListBytes},
          {"vm_list.parse", "VM", "us", worker_counts, VmListParseMicros}};
}

}  // namespace qh::capacity
