#include <catch2/catch.hpp>
#include <iostream>

#include "crowd.h"
#include "process_usage.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

constexpr const char* kCustomer = "semarang";
constexpr int kSubnet = 86;
constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
/** Largest body that a caller may send. */
constexpr std::size_t kMaxBodyBytes = 4 * kMegabyte;
/** Largest body of the admin address and of operators; defaults of the programs. */
constexpr std::size_t kMaxAdminBodyBytes = kMegabyte;
constexpr std::size_t kMaxOperatorBodyBytes = 256 * kKilobyte;
constexpr int kBodyClients = 40;
constexpr int kConnectionClients = 300;
constexpr int kReservedDescriptors = 200;
constexpr int kFewDescriptors = 400;
constexpr int kManyDescriptors = 4100;
constexpr int kMemoryMb = 64;
constexpr std::uint16_t kAdminPort = 8001;
constexpr std::uint16_t kControlRpcPort = 8004;
constexpr std::uint16_t kEntryRpcPort = 8005;
constexpr int kStepsPerSample = 10;

/** The two processes of a VM on a small machine, and what they use while a crowd is there. */
class CrowdedDeployment {
 public:
  explicit CrowdedDeployment(int max_descriptors = kManyDescriptors, int memory_mb = kMemoryMb)
      : m_max_descriptors(max_descriptors),
        m_memory_mb(memory_mb),
        m_deployment(OptionsOf(max_descriptors, memory_mb)) {
    m_deployment.StartAndServe(kCustomer);
    m_entry_usage = std::make_unique<ProcessUsage>(
        m_deployment.Entry(0).Pid(),
        std::vector<IpEndpoint>{m_deployment.Callers(0), EndpointAt(kAdminPort),
                                EndpointAt(kEntryRpcPort)});
    m_control_usage = std::make_unique<ProcessUsage>(
        m_deployment.Control(0).Pid(),
        std::vector<IpEndpoint>{m_deployment.Operators(0), EndpointAt(kControlRpcPort)});
  }

  TestDeployment& Deployment() { return m_deployment; }
  IpEndpoint EndpointAt(std::uint16_t port) const { return {m_deployment.Callers(0).ip, port}; }

  /**
   * Lets `clients` send to `server`, and checks that both processes stay within their machine and
   * serve others while the crowd is there.
   */
  void Meet(const IpEndpoint& server, int clients, const Crowd::MessageOf& message_of,
            bool reads_responses = true) {
    const Crowd crowd(m_deployment.Loop(), server, clients, message_of, reads_responses);
    int steps = 0;
    REQUIRE(m_deployment.WaitUntil(
        [&] {
          if (steps++ % kStepsPerSample == 0) {
            Sample();
          }
          return crowd.HasSettled();
        },
        kSettleLimit));
    // The processes may still work on what has been sent.
    REQUIRE(m_deployment.WaitUntil(
        [&] {
          Sample();
          return std::min(m_entry_usage->SteadySamples(), m_control_usage->SteadySamples()) >
                 kSteadySamples;
        },
        kSettleLimit));
    CHECK(m_deployment.WaitUntil([&] {
      Sample();
      const http::HttpRequest call =
          TestDeployment::MakeCall(kCustomer, "GET", "katalog/price/1", "");
      return m_deployment.Send(m_deployment.Callers(0), call).status == 200;
    }));
    CHECK(m_deployment.WaitUntil([&] { return m_deployment.FetchStatus(0).is_object(); }));
    Sample();
    std::cout << "open clients " << crowd.OpenClients() << std::endl;
    CHECK(m_deployment.Entry(0).IsRunning());
    CHECK(m_deployment.Control(0).IsRunning());
    CheckUsage("qh-entry", *m_entry_usage);
    CheckUsage("qh-control", *m_control_usage);
  }

 private:
  static constexpr int kSteadySamples = 50;

  /** Allows for a busy machine. */
  static constexpr std::chrono::milliseconds kSettleLimit{60000};

  static DeploymentOptions OptionsOf(int max_descriptors, int memory_mb) {
    DeploymentOptions options;
    options.subnet = kSubnet;
    options.vms = 1;
    options.services = {{"katalog", 3, 3}, {"panduan", 4, 20000}};
    options.extra_settings = "[callers]\nmax_body_bytes = " + std::to_string(kMaxBodyBytes) +
                             "\n[limits]\nmemory_mb = " + std::to_string(memory_mb) +
                             "\nmax_descriptors = " + std::to_string(max_descriptors) + "\n";
    return options;
  }

  void Sample() {
    m_entry_usage->Sample();
    m_control_usage->Sample();
  }

  void CheckUsage(const char* program, const ProcessUsage& usage) const {
    CAPTURE(program);
    std::cout << program << " peak memory " << usage.PeakMemoryKb() << " KB, of it not read "
              << usage.PeakUnreadKb() << " KB at most, peak sockets " << usage.PeakSockets()
              << std::endl;
    CHECK(usage.PeakMemoryKb() > 0);
    CHECK(usage.PeakMemoryKb() < static_cast<std::size_t>(m_memory_mb) * kKilobyte);
    CHECK(usage.PeakSockets() <=
          static_cast<std::size_t>(m_max_descriptors - kReservedDescriptors));
  }

  int m_max_descriptors;
  int m_memory_mb;
  TestDeployment m_deployment;
  std::unique_ptr<ProcessUsage> m_entry_usage;
  std::unique_ptr<ProcessUsage> m_control_usage;
};

std::string CallHead(const std::string& service) {
  return "POST /svc/" + service +
         "/order HTTP/1.1\r\nhost: a\r\nx-qh-customer: " + std::string(kCustomer) + "\r\n";
}

CrowdMessage PartOfHead(int /*client*/) { return {CallHead("katalog"), "", 0, "", 1}; }

// Each of these cases guards against a process that ends because clients that nobody controls use
// up the memory or the descriptors of its machine.

TEST_CASE("Callers' bodies that stop just short of their end", "[entry_bodies]") {
  CrowdedDeployment vm;
  vm.Meet(vm.Deployment().Callers(0), kBodyClients,
          [](int) { return UnfinishedBody(CallHead("katalog"), kMaxBodyBytes, kMegabyte); });
}

TEST_CASE("Callers' chunked bodies without their last chunk", "[entry_chunks]") {
  CrowdedDeployment vm;
  vm.Meet(vm.Deployment().Callers(0), kBodyClients,
          [](int) { return UnfinishedChunks(CallHead("katalog"), kMaxBodyBytes, 64 * kKilobyte); });
}

TEST_CASE("Callers' complete bodies for slow workers", "[entry_bodies_complete]") {
  constexpr int kClients = 1000;
  // The largest body that the contract allows, so that the calls go on to the workers.
  constexpr std::size_t kContractBodyBytes = 64 * kKilobyte;
  CrowdedDeployment vm;
  vm.Meet(vm.Deployment().Callers(0), kClients, [](int) {
    CrowdMessage message = UnfinishedBody(
        "GET /svc/panduan/guide HTTP/1.1\r\nhost: a\r\nx-qh-customer: " + std::string(kCustomer) +
            "\r\n",
        kContractBodyBytes, kContractBodyBytes / 4);
    message.tail += "x";
    return message;
  });
}

TEST_CASE("Callers' connections without a complete head", "[entry_connections]") {
  CrowdedDeployment vm(kFewDescriptors);
  vm.Meet(vm.Deployment().Callers(0), kConnectionClients, PartOfHead);
}

TEST_CASE("Connections and bodies at the admin address", "[entry_admin]") {
  SECTION("connections") {
    CrowdedDeployment vm(kFewDescriptors);
    vm.Meet(vm.EndpointAt(kAdminPort), kConnectionClients, PartOfHead);
  }
  SECTION("bodies") {
    constexpr int kClients = 120;
    CrowdedDeployment vm;
    vm.Meet(vm.EndpointAt(kAdminPort), kClients, [](int) {
      return UnfinishedBody(CallHead("katalog"), kMaxAdminBodyBytes, 128 * kKilobyte);
    });
  }
}

/** Returns `requests` pipelined calls of a customer without a contract. Each adds an event. */
CrowdMessage CallsOfUnknownCustomer(const std::string& customer, std::uint64_t requests) {
  CrowdMessage message;
  message.block =
      "GET /svc/katalog/price HTTP/1.1\r\nhost: a\r\nx-qh-customer: " + customer + "\r\n\r\n";
  message.blocks = requests;
  return message;
}

TEST_CASE("Calls with long names of customers", "[entry_events]") {
  constexpr std::uint64_t kRequests = 200;
  constexpr std::size_t kNameBytes = 12'000;
  CrowdedDeployment vm;
  vm.Meet(vm.Deployment().Callers(0), kBodyClients, [](int client) {
    return CallsOfUnknownCustomer(std::to_string(client) + std::string(kNameBytes, 'x'), kRequests);
  });
}

TEST_CASE("Time lines that are not read", "[entry_timeline]") {
  constexpr std::uint64_t kRequests = 500;
  // A time line is then larger than what the kernel buffers for a connection.
  constexpr std::size_t kNameBytes = 230;
  constexpr int kTimelineClients = 100;
  constexpr int kLargerMemoryMb = 128;
  CrowdedDeployment vm(kManyDescriptors, kLargerMemoryMb);
  vm.Meet(vm.Deployment().Callers(0), kBodyClients, [](int client) {
    return CallsOfUnknownCustomer(std::to_string(client) + std::string(kNameBytes, 'x'), kRequests);
  });
  vm.Meet(
      vm.EndpointAt(kAdminPort), kTimelineClients,
      [](int) {
        return CrowdMessage{"GET /v1/timeline HTTP/1.1\r\nhost: a\r\n\r\n", "", 0, "", 1};
      },
      false);
}

TEST_CASE("Bodies at the operators' address", "[operators_bodies]") {
  constexpr int kClients = 400;
  CrowdedDeployment vm;
  vm.Meet(vm.Deployment().Operators(0), kClients, [](int) {
    return UnfinishedBody("PUT /v1/contracts/a HTTP/1.1\r\nhost: a\r\n", kMaxOperatorBodyBytes,
                          64 * kKilobyte);
  });
}

TEST_CASE("Connections at the operators' address", "[operators_connections]") {
  CrowdedDeployment vm(kFewDescriptors);
  vm.Meet(vm.Deployment().Operators(0), kConnectionClients, PartOfHead);
}

/** Returns a message of Cap'n Proto RPC that stops short of its end: one segment of 60 MB. */
CrowdMessage UnfinishedRpcMessage(int /*client*/) {
  constexpr std::uint32_t kWordBytes = 8;
  constexpr std::uint32_t kWords = 60 * kMegabyte / kWordBytes;
  constexpr int kBitsPerByte = 8;
  CrowdMessage message;
  // Number of segments less one, then the size of the segment, both with the lowest byte first.
  message.head = std::string(sizeof(std::uint32_t), '\0');
  for (std::size_t i = 0; i < sizeof(kWords); ++i) {
    message.head += static_cast<char>((kWords >> (kBitsPerByte * i)) & 0xff);
  }
  message.block = std::string(64 * kKilobyte, '\0');
  message.blocks = 4 * kMegabyte / message.block.size();
  return message;
}

TEST_CASE("Messages without end at the RPC addresses", "[rpc_bytes]") {
  const std::uint16_t port = GENERATE(kControlRpcPort, kEntryRpcPort);
  CAPTURE(port);
  CrowdedDeployment vm;
  vm.Meet(vm.EndpointAt(port), kBodyClients, UnfinishedRpcMessage);
}

TEST_CASE("Connections without a session at the RPC addresses", "[rpc_connections]") {
  const std::uint16_t port = GENERATE(kControlRpcPort, kEntryRpcPort);
  CAPTURE(port);
  CrowdedDeployment vm(kFewDescriptors);
  vm.Meet(vm.EndpointAt(port), kConnectionClients, [](int) { return CrowdMessage{}; });
}

}  // namespace
}  // namespace qh::test
