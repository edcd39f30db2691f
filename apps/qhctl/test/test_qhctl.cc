#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "control_vm.h"
#include "entry_fake.h"
#include "platform_fake.h"

extern char** environ;

namespace qh::control {
namespace {

using nlohmann::json;

const std::string kContract =
    "[contract]\ncustomer = semarang\n[limits]\nrequests_per_second = 400\nburst = 80\n"
    "requests_in_progress = 60\n[priority]\nclass = high\n[service katalog]\ndeadline_ms = 2000\n"
    "idempotent = GET /, HEAD /\n";

/** Exit code and output of a qhctl process. */
struct QhctlResult {
  int exit_code = -1;
  std::string out;
  std::string err;
};

/** Temporary folder for the files of one test. */
class TestFolder {
 public:
  TestFolder()
      : m_path(std::filesystem::temp_directory_path() / ("qhctl-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(m_path);
  }
  ~TestFolder() { std::filesystem::remove_all(m_path); }

  std::string Write(const std::string& name, const std::string& text) const {
    const std::string path = (m_path / name).string();
    std::ofstream(path) << text;
    return path;
  }
  std::string Read(const std::string& name) const {
    std::ostringstream text;
    text << std::ifstream(m_path / name).rdbuf();
    return text.str();
  }
  std::string Path(const std::string& name) const { return (m_path / name).string(); }

 private:
  std::filesystem::path m_path;
};

/** A qhctl process; the event loop of the test runs while Wait() waits for it. */
class QhctlProcess {
 public:
  QhctlProcess(net::EventLoop& loop, const TestFolder& folder, std::vector<std::string> arguments)
      : m_loop(loop), m_folder(folder) {
    arguments.insert(arguments.begin(), QHCTL_PROGRAM);
    std::vector<char*> pointers;
    for (std::string& argument : arguments) {
      pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_TRUNC;
    const std::string out = m_folder.Path("out");
    const std::string err = m_folder.Path("err");
    posix_spawn_file_actions_addopen(&actions, 1, out.c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, err.c_str(), flags, 0600);
    REQUIRE(posix_spawn(&m_pid, QHCTL_PROGRAM, &actions, nullptr, pointers.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
  }

  QhctlResult Wait() {
    int status = 0;
    WaitUntil(m_loop, "qhctl has ended", [&] { return waitpid(m_pid, &status, WNOHANG) == m_pid; });
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, m_folder.Read("out"),
            m_folder.Read("err")};
  }

 private:
  net::EventLoop& m_loop;
  const TestFolder& m_folder;
  pid_t m_pid = 0;
};

/** Two VMs, a fake platform, and the files that qhctl needs. */
struct TwoVms {
  net::EventLoop loop;
  rpc::KjEventLoop kj_loop{loop};
  PlatformFake platform{loop};
  ControlVm first{loop, platform.Endpoint(), 1};
  ControlVm second{loop, platform.Endpoint(), 2, {&first}};
  TestFolder folder;
  std::string contract = folder.Write("contract.ini", kContract);
  std::string token = folder.Write("token", first.token + "\n");

  std::vector<std::string> Common(const std::string& operators) const {
    return {"--operators", operators, "--token-file", token};
  }
  std::string Both() const {
    return ToString(first.Settings().addresses.operators) + "," +
           ToString(second.Settings().addresses.operators);
  }
  QhctlProcess Start(const std::vector<std::string>& command, const std::string& operators = "") {
    std::vector<std::string> arguments = Common(operators.empty() ? Both() : operators);
    arguments.insert(arguments.end(), command.begin(), command.end());
    return {loop, folder, arguments};
  }
  QhctlResult Run(const std::vector<std::string>& command, const std::string& operators = "") {
    return Start(command, operators).Wait();
  }
};

// Guards against commands with a wrong effect, output or exit code.
TEST_CASE("An operator manages contracts and VMs through qhctl") {
  TwoVms vms;
  vms.first.Start();
  vms.second.Start();
  EntryFake first_entry(vms.kj_loop, vms.first.Settings(), vms.first.Settings().deployment_key);
  EntryFake second_entry(vms.kj_loop, vms.second.Settings(), vms.second.Settings().deployment_key);
  WaitUntil(vms.loop, "the entries are attached",
            [&] { return first_entry.IsAttached() && second_entry.IsAttached(); });
  first_entry.ReportStatus(true, 3);
  second_entry.ReportStatus(true, 5);
  WaitUntil(vms.loop, "the first VM knows both as live", [&] {
    const json members = vms.first.Call("GET", "/v1/status").body.at("members");
    return members.size() == 2 && members[0].at("state") == "live" &&
           members[1].at("state") == "live";
  });

  SECTION("an applied contract is in force at all VMs, and shown in the format of contract files") {
    const QhctlResult applied = vms.Run({"contract", "apply", vms.contract, "--wait"});
    CAPTURE(applied.err);
    CHECK(applied.exit_code == 0);
    CHECK(applied.out.find("version 1, revision 1") != std::string::npos);
    CHECK(applied.out.find("in force at 2 live VMs") != std::string::npos);
    CHECK(second_entry.Record().revision == 1);

    const QhctlResult shown = vms.Run({"contract", "show", "semarang"});
    CHECK(shown.exit_code == 0);
    const std::string copy = vms.folder.Write("copy.ini", shown.out);
    CHECK(vms.Run({"contract", "check", copy}).exit_code == 0);
    CHECK(vms.Run({"contract", "list"}).out.find("semarang") != std::string::npos);

    SECTION("an outdated expected version gives exit code 5 and the author of the current one") {
      const QhctlResult late =
          vms.Run({"contract", "apply", vms.contract, "--expect-version", "0"});
      CHECK(late.exit_code == 5);
      CHECK(late.err.find("version 1 by") != std::string::npos);
    }
    SECTION("a removal appears in the history") {
      CHECK(vms.Run({"contract", "remove", "semarang"}).exit_code == 0);
      CHECK(vms.Run({"contract", "show", "semarang"}).exit_code == 1);
      CHECK(vms.Run({"contract", "history", "semarang"}).out.find("removed") != std::string::npos);
    }
    SECTION("the timeline merges the events of all VMs in the order of their timestamps") {
      const QhctlResult timeline = vms.Run({"timeline", "--customer", "semarang", "--json"});
      const json events = json::parse(timeline.out).at("events");
      REQUIRE(events.size() >= 3);
      std::vector<std::string> names;
      for (std::size_t i = 0; i < events.size(); ++i) {
        names.push_back(events[i].at("vm"));
        CHECK((i == 0 || events[i - 1].at("wall_us") <= events[i].at("wall_us")));
      }
      CHECK(std::count(names.begin(), names.end(), "vm-1") > 0);
      CHECK(std::count(names.begin(), names.end(), "vm-2") > 0);
    }
  }
  SECTION("the status lists all VMs with the values that they report themselves") {
    const json status = json::parse(vms.Run({"status", "--json"}).out);
    CHECK(status.at("members")[0].at("in_progress") == 3);
    CHECK(status.at("members")[1].at("in_progress") == 5);
    CHECK(vms.Run({"status"}).out.find("vm-2") != std::string::npos);
  }
  SECTION("a drain is sent to the given VM") {
    CHECK(vms.Run({"drain", "vm-2"}).exit_code == 0);
    WaitUntil(vms.loop, "its entry receives the drain",
              [&] { return second_entry.Record().draining; });
    CHECK_FALSE(first_entry.Record().draining);
    CHECK(vms.Run({"drain", "vm-9"}).exit_code == 1);
  }
  SECTION("an address that does not respond is skipped") {
    const std::string unused_address = "127.0.0.1:1";
    CHECK(vms.Run({"contract", "list"}, unused_address + "," + vms.Both()).exit_code == 0);
    const QhctlResult none = vms.Run({"contract", "apply", vms.contract}, unused_address);
    CHECK(none.exit_code == 1);
    CHECK(none.err.find("nothing was written") != std::string::npos);
  }
}

// Guards against a change that is reported as failed or applied twice when the qh-control that
// handles it is killed: qhctl must repeat the operation at another VM.
TEST_CASE("A change whose response is lost with its VM is repeated at another VM") {
  TwoVms vms;
  vms.first.Start();
  vms.second.Start();
  vms.platform.fault = PlatformFault::kSilentAfterWrite;
  QhctlProcess qhctl = vms.Start({"contract", "apply", vms.contract, "--expect-version", "0"});
  WaitUntil(vms.loop, "the change is written",
            [&] { return vms.platform.transactions_applied == 1; });
  // The first VM is killed while it looks up the operation, before it has responded to qhctl.
  vms.first.Signal(SIGKILL);
  vms.platform.fault = PlatformFault::kNone;
  const QhctlResult result = qhctl.Wait();
  CAPTURE(result.err);
  CHECK(result.exit_code == 0);
  CHECK(result.out.find("version 1, revision 1") != std::string::npos);
  CHECK(vms.platform.transactions_applied == 1);
}

// Guards against a change that is reported as not written although the platform may have written
// it.
TEST_CASE("A change that may have been written is reported as unknown") {
  TwoVms vms;
  vms.first.Start();
  vms.platform.fault = PlatformFault::kSilentAfterWrite;
  const QhctlResult result = vms.Run({"contract", "apply", vms.contract},
                                     ToString(vms.first.Settings().addresses.operators));
  CHECK(result.exit_code == 1);
  CHECK(result.err.find("it is not known whether the change was accepted") != std::string::npos);
  CHECK(vms.platform.transactions_applied == 1);
}

/** A command line or contract that is rejected before a request is sent. */
struct RefusedCase {
  const char* name;
  std::vector<std::string> arguments;
  int exit_code;
  const char* message;
};

TEST_CASE("Wrong command lines give exit code 2 and wrong contracts 4, each with the reason") {
  net::EventLoop loop;
  TestFolder folder;
  const std::string token = folder.Write("token", "operator-token-of-tests");
  const std::string wrong =
      folder.Write("wrong.ini",
                   "[contract]\ncustomer = semarang\n[limits]\nrequests_per_second = -1\n"
                   "burst = 0\nrequests_in_progress = 60\n");
  const std::vector<std::string> common{"--operators", "127.0.0.1:1", "--token-file", token};
  const auto with = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), common.begin(), common.end());
    return arguments;
  };
  const std::vector<RefusedCase> cases{
      {"no command", {}, 2, "unknown command"},
      {"other command", with({"contract", "aply", "x"}), 2, "unknown command"},
      {"missing argument", with({"contract", "show"}), 2, "wrong number of arguments"},
      {"unknown option", {"status", "--jsn"}, 2, "--jsn"},
      {"no operators", {"status"}, 2, "--operators"},
      {"operators by name", {"status", "--operators", "localhost:1"}, 2, "--operators"},
      {"no token", {"status", "--operators", "127.0.0.1:1"}, 2, "--token-file"},
      {"version is no number", with({"contract", "remove", "x", "--expect-version", "1x"}), 2,
       "--expect-version"},
      {"time is no time", with({"timeline", "--from", "noon"}), 2, "--from"},
      {"check: first problem", {"contract", "check", wrong}, 4, "wrong.ini:4"},
      {"check: second problem", {"contract", "check", wrong}, 4, "wrong.ini:5"},
      {"apply of a wrong contract", with({"contract", "apply", wrong}), 4, "wrong.ini:4"},
      {"check of no file", {"contract", "check", folder.Path("none.ini")}, 4, "cannot be read"},
  };
  for (const RefusedCase& row : cases) {
    CAPTURE(row.name);
    const QhctlResult result = QhctlProcess(loop, folder, row.arguments).Wait();
    CAPTURE(result.err);
    CHECK(result.exit_code == row.exit_code);
    CHECK(result.err.find(row.message) != std::string::npos);
  }
}

}  // namespace
}  // namespace qh::control
