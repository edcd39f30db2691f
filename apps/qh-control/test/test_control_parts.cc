#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "contract_acceptance.h"
#include "contract_table_reader.h"
#include "control_vm.h"
#include "platform_fake.h"
#include "platform_task.h"
#include "quetzalhinge/contract/contract_json.h"
#include "quetzalhinge/gossip/gossip_codec.h"

namespace qh::control {
namespace {

using std::chrono::milliseconds;

membership::MemberRecord RecordOf(int number) {
  membership::MemberRecord record;
  record.vm = "vm-" + std::to_string(number);
  record.zone = "zone-" + std::to_string(number);
  record.entry_incarnation = "00000000000012ab";
  record.generation = 1'796'378'000'000'000;
  record.version = 7;
  record.heartbeat = 1000;
  record.revision = 12'000;
  record.slot = static_cast<std::uint16_t>(number);
  record.state = membership::MemberState::kLive;
  const std::string ip = "127.0.1." + std::to_string(number);
  record.endpoints = {{ip, 8000}, {ip, 8005}, {ip, 8004}, {ip, 8003}, {ip, 8002}};
  return record;
}

membership::GossipMessage FullMessage() {
  membership::GossipMessage message;
  message.sender = RecordOf(1);
  message.known_members = 14;
  for (int i = 2; i < 6; ++i) {
    message.records.push_back(RecordOf(i));
    message.heartbeats.push_back({static_cast<std::uint16_t>(i), 77, 1000});
    message.notices.push_back({membership::NoticeKind::kSuspectFingerprint, "0123456789abcdef",
                               "k-" + std::to_string(i), 9, 1'796'378'000'000'000,
                               milliseconds(60000)});
  }
  return message;
}

TEST_CASE("A gossip message survives encoding and decoding within its computed size") {
  const membership::GossipMessage message = FullMessage();
  const std::string bytes = gossip::EncodeGossip(message);
  CHECK(bytes.size() <= membership::EncodedBytes(message));

  SECTION("every field is decoded") {
    const auto decoded = gossip::DecodeGossip(bytes);
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded).sender == message.sender);
    CHECK(ValueOf(decoded).known_members == message.known_members);
    CHECK(ValueOf(decoded).records == message.records);
    CHECK(ValueOf(decoded).notices == message.notices);
    CHECK(ValueOf(decoded).heartbeats == message.heartbeats);
  }
  SECTION("a truncated message is decoded or gives an error, and never crashes") {
    const std::string_view encoded = bytes;
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      const auto decoded = gossip::DecodeGossip(encoded.substr(0, length));
      const bool refused = !IsOk(decoded);
      CHECK((refused ? ErrorOf(decoded).code : ErrorCode::kProtocol) == ErrorCode::kProtocol);
    }
    CHECK_FALSE(IsOk(gossip::DecodeGossip(encoded.substr(0, bytes.size() / 2))));
  }
}

TEST_CASE("All VMs together read the head about ten times per second") {
  struct Case {
    int vm_count;
    milliseconds interval;
  };
  const std::vector<Case> cases{
      {1, milliseconds(1000)}, {15, milliseconds(1500)}, {350, milliseconds(30000)}};
  for (const Case& row : cases) {
    CAPTURE(row.vm_count);
    CHECK(HeadInterval(row.vm_count) == row.interval);
  }
  CHECK(VmListInterval(milliseconds(1000), 1024) == milliseconds(1000));
  CHECK(VmListInterval(milliseconds(1000), 614400) == milliseconds(300000));
}

/** A fake platform in the test process, with a client and a table reader. */
struct Table {
  net::EventLoop loop;
  PlatformFake platform{loop};
  platform::PlatformClient client{loop, {platform.Endpoint(), milliseconds(20000)}};
  ContractTableReader reader{client};

  void Accept(const std::string& customer, const std::string& operation) {
    auto contract = contract::ContractFromJson(PutBody(customer, operation, 100).at("contract"));
    REQUIRE(IsOk(contract));
    ContractCommand command;
    command.customer = customer;
    command.contract = std::make_shared<const contract::Contract>(TakeValue(std::move(contract)));
    command.operation_id = operation;
    command.author = "tests";
    std::optional<CommandResult> result;
    ContractAcceptance::Start(loop, client, command, [&](CommandResult command_result) {
      result = std::move(command_result);
    });
    WaitUntil(loop, "the command is completed", [&] { return result.has_value(); });
    REQUIRE(std::holds_alternative<CommandAccepted>(*result));
  }

  messages::ContractUpdate ReadSince(contract::Revision revision, contract::Revision newest) {
    std::optional<Result<messages::ContractUpdate>> update;
    reader.ReadSince(revision, newest, [&](Result<messages::ContractUpdate> read_result) {
      update = std::move(read_result);
    });
    WaitUntil(loop, "the read is completed", [&] { return update.has_value(); });
    REQUIRE(IsOk(*update));
    return TakeValue(std::move(*update));
  }
};

TEST_CASE("A book that lags far behind gets a snapshot; one that lags a little gets log rows") {
  Table table;
  constexpr int kChanges = static_cast<int>(ContractTableReader::kLogRowsPerRead) + 20;
  for (int i = 1; i <= kChanges; ++i) {
    table.Accept("customer-" + std::to_string(i % 7), "op-" + std::to_string(i));
  }
  contract::ContractBook book;
  const auto far = table.ReadSince(0, kChanges);
  REQUIRE(std::holds_alternative<contract::ContractSnapshot>(far.changes));
  CHECK(book.ApplySnapshot(std::get<contract::ContractSnapshot>(far.changes)));
  CHECK(book.CurrentRevision() == kChanges);
  CHECK(book.Customers().size() == 7);

  table.Accept("customer-8", "op-last");
  const auto near = table.ReadSince(kChanges, kChanges + 1);
  REQUIRE(std::holds_alternative<std::vector<contract::ContractChange>>(near.changes));
  const auto& changes = std::get<std::vector<contract::ContractChange>>(near.changes);
  REQUIRE(changes.size() == 1);
  CHECK(book.Apply(changes[0]) == contract::ApplyOutcome::kApplied);
}

TEST_CASE("A snapshot that is read while contracts change is complete") {
  Table table;
  for (int i = 1; i <= 5; ++i) {
    table.Accept("customer-" + std::to_string(i), "op-" + std::to_string(i));
  }
  // These changes are written after the head and before the contract rows are read.
  int requests = 0;
  table.platform.before_response = [&](const http::HttpRequest& request) {
    if (request.path.find("contracts") != std::string::npos && ++requests == 1) {
      table.platform.PutContract(6, "customer-3", PutBody("customer-3", "op-6", 600));
      table.platform.PutContract(7, "customer-9", PutBody("customer-9", "op-7", 700));
    }
  };
  const auto update = table.ReadSince(0, ContractTableReader::kLogRowsPerRead + 1);
  const auto& snapshot = std::get<contract::ContractSnapshot>(update.changes);
  CHECK(snapshot.revision == 7);
  contract::ContractBook book;
  REQUIRE(book.ApplySnapshot(snapshot));
  CHECK(book.Find("customer-3")->limits.requests_per_second == 600);
  CHECK(book.Find("customer-9") != nullptr);
  CHECK(book.Customers().size() == 6);
}

}  // namespace
}  // namespace qh::control
