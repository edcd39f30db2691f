#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control_vm.h"
#include "entry_fake.h"
#include "platform_fake.h"
#include "quetzalhinge/net/udp_socket.h"

namespace qh::control {
namespace {

using nlohmann::json;

/** Three VMs of one deployment. StartAndAttachAll() attaches a fake entry to each. */
struct ThreeVms {
  net::EventLoop loop;
  rpc::KjEventLoop kj_loop{loop};
  PlatformFake platform{loop};
  ControlVm first{loop, platform.Endpoint(), 1};
  ControlVm second{loop, platform.Endpoint(), 2, {&first}};
  ControlVm third{loop, platform.Endpoint(), 3, {&first}};
  std::unique_ptr<EntryFake> first_entry;
  std::unique_ptr<EntryFake> second_entry;
  std::unique_ptr<EntryFake> third_entry;

  /** Attaches a fake entry, waits for its first confirmation and reports it ready. */
  std::unique_ptr<EntryFake> Attach(const ControlVm& vm) {
    auto entry = std::make_unique<EntryFake>(kj_loop, vm.Settings(), vm.Settings().deployment_key);
    WaitUntil(loop, "the entry is attached and its contracts are confirmed",
              [&] { return entry->IsAttached() && entry->Record().confirmations > 0; });
    entry->ReportStatus(true, 4);
    return entry;
  }

  void StartAndAttachAll() {
    first.Start();
    second.Start();
    third.Start();
    first_entry = Attach(first);
    second_entry = Attach(second);
    third_entry = Attach(third);
    for (const EntryFake* entry : {first_entry.get(), second_entry.get(), third_entry.get()}) {
      WaitUntil(loop, "every entry has three live members",
                [&] { return entry->Record().live_members.size() == 3; });
    }
  }
};

TEST_CASE("An entry needs the deployment key to attach") {
  net::EventLoop loop;
  rpc::KjEventLoop kj_loop(loop);
  PlatformFake platform(loop);
  ControlVm vm(loop, platform.Endpoint(), 1);
  vm.Start();
  EntryFake unauthorized_entry(kj_loop, vm.Settings(), "another key of 16+ bytes");
  WaitUntil(loop, "the session is rejected", [&] { return !unauthorized_entry.Failure().empty(); });
  CHECK_FALSE(unauthorized_entry.IsAttached());
  CHECK(vm.Metrics().find("qh_control_sessions_refused_total 1") != std::string::npos);
  CHECK(vm.Call("GET", "/v1/status").body.at("entry_attached") == false);
}

TEST_CASE("An attached entry receives all the state that it needs to serve") {
  net::EventLoop loop;
  rpc::KjEventLoop kj_loop(loop);
  PlatformFake platform(loop);
  platform.vms = json::parse(R"([{"name":"k-1","role":"worker","service":"katalog","zone":"z",
    "ip":"127.0.2.1","port":9000,"state":"live"}])");
  ControlVm vm(loop, platform.Endpoint(), 1);
  vm.Start();
  REQUIRE(vm.Put("semarang", "op-1").status == 200);
  auto entry = std::make_unique<EntryFake>(kj_loop, vm.Settings(), vm.Settings().deployment_key);
  WaitUntil(loop, "contracts, confirmation and workers are received", [&] {
    return entry->Record().confirmed_revision == 1 && entry->Record().workers.size() == 1;
  });
  CHECK(entry->Record().customers == std::vector<std::string>{"semarang"});

  SECTION("the VM is starting until the entry is ready, and again after the entry disconnects") {
    const auto own_state = [&] {
      return vm.Call("GET", "/v1/status").body.at("members")[0].at("state").get<std::string>();
    };
    CHECK(own_state() == "starting");
    entry->ReportStatus(true, 4);
    WaitUntil(loop, "the VM is live", [&] { return own_state() == "live"; });
    CHECK(vm.Call("GET", "/v1/status").body.at("members")[0].at("in_progress") == 4);
    entry.reset();
    WaitUntil(loop, "the VM is starting", [&] { return own_state() == "starting"; });
  }
  SECTION("a change is pushed immediately and confirmed") {
    vm.Put("bandung", "op-2");
    WaitUntil(loop, "the change is confirmed",
              [&] { return entry->Record().confirmed_revision == 2; });
    CHECK(entry->Record().customers.back() == "bandung");
  }
  SECTION("confirmations continue while the platform is down, with increasing age") {
    platform.fault = PlatformFault::kOutage;
    const std::uint64_t before = entry->Record().confirmations;
    WaitUntil(loop, "an old confirmation is received", [&] {
      return entry->Record().confirmations > before + 3 &&
             entry->Record().last_confirmation_age_ms > 4000;
    });
    platform.fault = PlatformFault::kNone;
    WaitUntil(loop, "a recent confirmation is received",
              [&] { return entry->Record().last_confirmation_age_ms < 4000; });
  }
  SECTION("a worker that the VM list marks as leaving causes a notice") {
    platform.vms[0]["state"] = "leaving";
    WaitUntil(loop, "the notice is received", [&] { return !entry->Record().notices.empty(); });
    CHECK(entry->Record().notices[0].kind == membership::NoticeKind::kWorkerLeaving);
    CHECK(entry->Record().notices[0].subject == "k-1");
    CHECK(vm.Call("GET", "/v1/workers").body.at("workers")[0].at("state") == "leaving");
  }
  SECTION("the timeline contains the events of both processes") {
    std::vector<std::string> processes;
    const json timeline = vm.Call("GET", "/v1/timeline").body;
    for (const json& event : timeline.at("events")) {
      processes.push_back(event.at("process"));
    }
    CHECK(std::count(processes.begin(), processes.end(), "qh-entry") == 1);
    CHECK(std::count(processes.begin(), processes.end(), "qh-control") > 1);
    const json of_customer = vm.Call("GET", "/v1/timeline?customer=semarang").body.at("events");
    CHECK(of_customer.size() >= 2);
  }
  SECTION("a planned stop drains the entry first and completes when the entry has disconnected") {
    vm.Signal(SIGTERM);
    WaitUntil(loop, "the entry is draining", [&] { return entry->Record().draining; });
    CHECK(vm.Call("GET", "/v1/status").body.at("members")[0].at("state") == "leaving");
    entry.reset();
    CHECK(vm.WaitForExit() == 0);
  }
  SECTION("an operator's drain request has the same effect") {
    CHECK(vm.Call("POST", "/v1/drain", {{"vm", "vm-1"}}).status == 202);
    WaitUntil(loop, "the entry is draining", [&] { return entry->Record().draining; });
    entry.reset();
    CHECK(vm.WaitForExit() == 0);
  }
}

TEST_CASE("VMs discover each other by gossip and exchange contracts, notices and loans") {
  ThreeVms vms;
  vms.StartAndAttachAll();

  SECTION("a contract accepted at one VM reaches the entries of all VMs") {
    vms.second.Put("semarang", "op-1");
    for (const auto* entry : {&vms.first_entry, &vms.second_entry, &vms.third_entry}) {
      WaitUntil(vms.loop, "the entry has the contract and its confirmation",
                [&] { return (*entry)->Record().confirmed_revision == 1; });
    }
  }
  SECTION(
      "with the platform down, VMs confirm each other, and a new VM fetches contracts from them") {
    vms.second.Put("semarang", "op-1");
    WaitUntil(vms.loop, "the other entries have the contract", [&] {
      return vms.first_entry->Record().revision == 1 && vms.third_entry->Record().revision == 1;
    });
    vms.platform.fault = PlatformFault::kSilent;
    ControlVm new_vm(vms.loop, vms.platform.Endpoint(), 4, {&vms.first});
    new_vm.Start();
    const std::unique_ptr<EntryFake> new_entry = vms.Attach(new_vm);
    CHECK(new_entry->Record().confirmed_revision == 1);
    const std::uint64_t before = vms.first_entry->Record().confirmations;
    WaitUntil(vms.loop, "confirmations have continued for longer than the confirmation limit",
              [&] { return vms.first_entry->Record().confirmations > before + 20; });
    CHECK(vms.first_entry->Record().last_confirmation_age_ms < 4000);
  }
  SECTION("a notice published by one entry reaches the other entries and is not sent back") {
    membership::Notice notice;
    notice.kind = membership::NoticeKind::kWorkerLeaving;
    notice.subject = "k-7";
    notice.stamp_us = UnixNow();
    notice.lifetime = std::chrono::seconds(60);
    vms.first_entry->Publish(notice);
    WaitUntil(vms.loop, "both other entries have the notice", [&] {
      return vms.second_entry->Record().notices.size() == 1 &&
             vms.third_entry->Record().notices.size() == 1;
    });
    CHECK(vms.third_entry->Record().notices[0] == notice);
    CHECK(vms.first_entry->Record().notices.empty());
  }
  SECTION("a loan is requested only from the entry at the lender's slot") {
    vms.first_entry->Borrow(2, 0.25);
    WaitUntil(vms.loop, "the loan is granted",
              [&] { return vms.first_entry->LoanedFraction() >= 0; });
    CHECK(vms.first_entry->LoanedFraction() == 0.25);
    CHECK(vms.third_entry->Record().lend_requests == 1);
    CHECK(vms.second_entry->Record().lend_requests == 0);
    vms.first_entry->Borrow(9, 0.25);
    WaitUntil(vms.loop, "the request is completed",
              [&] { return vms.first_entry->LoanedFraction() >= 0; });
    CHECK(vms.first_entry->LoanedFraction() == 0);
  }
  SECTION("a leaving VM is not a live member at the other VMs") {
    vms.third.Signal(SIGTERM);
    WaitUntil(vms.loop, "the other entries have two live members", [&] {
      return vms.first_entry->Record().live_members.size() == 2 &&
             vms.second_entry->Record().live_members.size() == 2;
    });
    CHECK(vms.third_entry->Record().draining);
  }
  SECTION("forged gossip is counted and does not change the members") {
    vms.loop.RunOnce(std::chrono::milliseconds(1));
    net::UdpSocket socket(vms.loop, [](const IpEndpoint&, std::string_view) {});
    REQUIRE(IsOk(socket.Bind({"127.0.0.1", 0})));
    socket.Send(vms.first.Settings().addresses.gossip, std::string(200, 'x'));
    WaitUntil(vms.loop, "the message is counted", [&] {
      return vms.first.Metrics().find("qh_control_gossip_refused_total") != std::string::npos;
    });
    CHECK(vms.first_entry->Record().live_members.size() == 3);
  }
}

}  // namespace
}  // namespace qh::control
