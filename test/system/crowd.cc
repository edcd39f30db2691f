#include "crowd.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/timer.h"

namespace qh::test {
namespace {

constexpr std::chrono::milliseconds kStepInterval{1};

/** Steps without progress of any client after which a crowd counts as settled. */
constexpr int kQuietSteps = 1000;

/** Size of a write of many small chunks. */
constexpr std::size_t kWriteBytes = 64 * 1024;

class Client : public net::TcpObserver {
 public:
  Client(net::EventLoop& loop, const IpEndpoint& server, CrowdMessage message, bool reads_responses)
      : m_message(std::move(message)),
        m_tcp(std::make_unique<net::TcpConnection>(loop, server, *this)) {
    m_tcp->SetReading(reads_responses);
  }

  void OnConnected() override { m_connected = true; }
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnEnd(net::TcpEnd /*end*/, const Error& /*error*/) override { m_tcp.reset(); }

  bool IsOpen() const { return m_tcp != nullptr && m_tcp->IsOpen(); }
  bool HasSent() const { return m_tail_sent && m_tcp->QueuedBytes() == 0; }

  /** Writes the next part if the last one is sent; returns whether the client made progress. */
  bool Step() {
    if (!IsOpen() || !m_connected || m_tail_sent || m_tcp->QueuedBytes() > 0) {
      return false;
    }
    if (!m_head_sent) {
      m_head_sent = true;
      m_tcp->Write(m_message.head);
    } else if (m_blocks_sent < m_message.blocks) {
      const std::uint64_t count =
          std::min(m_message.blocks_per_write, m_message.blocks - m_blocks_sent);
      std::string bytes;
      bytes.reserve(m_message.block.size() * count);
      for (std::uint64_t i = 0; i < count; ++i) {
        bytes += m_message.block;
      }
      m_blocks_sent += count;
      m_tcp->Write(std::move(bytes));
    } else {
      m_tail_sent = true;
      m_tcp->Write(m_message.tail);
    }
    return true;
  }

 private:
  CrowdMessage m_message;
  std::unique_ptr<net::TcpConnection> m_tcp;
  std::uint64_t m_blocks_sent = 0;
  bool m_connected = false;
  bool m_head_sent = false;
  bool m_tail_sent = false;
};

}  // namespace

struct Crowd::Impl {
  std::vector<std::unique_ptr<Client>> clients;
  net::Timer step_timer;
  int open_clients = 0;
  int quiet_steps = 0;

  explicit Impl(net::EventLoop& loop) : step_timer(loop, [this] { Step(); }) {}

  void Step() {
    bool progress = false;
    for (const auto& client : clients) {
      progress = client->Step() || progress;
    }
    const int open = static_cast<int>(std::count_if(
        clients.begin(), clients.end(), [](const auto& client) { return client->IsOpen(); }));
    progress = progress || open != open_clients;
    open_clients = open;
    quiet_steps = progress ? 0 : quiet_steps + 1;
  }
};

Crowd::Crowd(net::EventLoop& loop, const IpEndpoint& server, int clients,
             const MessageOf& message_of, bool reads_responses)
    : m_impl(std::make_unique<Impl>(loop)) {
  for (int i = 0; i < clients; ++i) {
    m_impl->clients.push_back(
        std::make_unique<Client>(loop, server, message_of(i), reads_responses));
  }
  m_impl->step_timer.StartRepeating(kStepInterval);
}

Crowd::~Crowd() = default;

bool Crowd::HasSettled() const {
  return m_impl->quiet_steps >= kQuietSteps ||
         std::all_of(m_impl->clients.begin(), m_impl->clients.end(),
                     [](const auto& client) { return !client->IsOpen() || client->HasSent(); });
}

int Crowd::OpenClients() const { return m_impl->open_clients; }

CrowdMessage UnfinishedBody(const std::string& head_without_length, std::size_t body_bytes,
                            std::size_t bytes_per_write) {
  CrowdMessage message;
  message.head = head_without_length + "content-length: " + std::to_string(body_bytes) + "\r\n\r\n";
  message.block = std::string(bytes_per_write, 'x');
  message.blocks = body_bytes / bytes_per_write - 1;
  message.tail = std::string(body_bytes - message.blocks * bytes_per_write - 1, 'x');
  return message;
}

CrowdMessage UnfinishedChunks(const std::string& head_without_length, std::size_t body_bytes,
                              std::size_t chunk_bytes) {
  constexpr int kHexDigits = 16;
  std::string size(kHexDigits, '\0');
  size.resize(
      static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx", chunk_bytes)));
  CrowdMessage message;
  message.head = head_without_length + "transfer-encoding: chunked\r\n\r\n";
  message.block = size + "\r\n" + std::string(chunk_bytes, 'x') + "\r\n";
  message.blocks = body_bytes / chunk_bytes;
  message.blocks_per_write = std::max<std::uint64_t>(1, kWriteBytes / message.block.size());
  return message;
}

}  // namespace qh::test
