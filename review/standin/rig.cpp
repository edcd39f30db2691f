#include "rig.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace rig {
namespace {

std::mutex g_record_mutex;
std::ofstream g_record;
std::mutex g_unqueued_mutex;
std::vector<std::string> g_unqueued;
const Clock::time_point g_start = Clock::now();

sockaddr_in Sockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int Listen(Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in bound = Sockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 || listen(fd, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  socklen_t size = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  address.port = ntohs(bound.sin_port);
  return fd;
}

void AcceptLoop(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([fd, serve] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }).detach();
}

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

void ParseHeaders(const std::string& head, std::map<std::string, std::string>& headers) {
  std::size_t at = head.find("\r\n");
  while (at != std::string::npos) {
    const std::size_t start = at + 2;
    at = head.find("\r\n", start);
    const std::string line = head.substr(start, at == std::string::npos ? at : at - start);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
}

std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      value = value << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : digits[value >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  unsigned value = 0;
  int bits = 0;
  for (const char c : text) {
    const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const char* found = c == '=' ? nullptr : std::strchr(digits, c);
    if (found == nullptr) {
      break;
    }
    value = value << 6 | static_cast<unsigned>(found - digits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(value >> bits & 255);
    }
  }
  return bytes;
}

std::string Query(const std::string& path, const std::string& name) {
  const std::size_t start = path.find('?');
  std::size_t at = start == std::string::npos ? start : path.find(name + "=", start);
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 1;
  return path.substr(at, path.find('&', at) - at);
}

/** Value of a text field in the JSON that the gateway sends to rows-tx. */
std::string JsonText(const std::string& json, const std::string& name) {
  const std::string start = "\"" + name + "\":\"";
  const std::size_t at = json.find(start);
  return at == std::string::npos
             ? ""
             : json.substr(at + start.size(),
                           json.find('"', at + start.size()) - at - start.size());
}

std::string Reply(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

void Sleep(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

long long NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - g_start).count();
}

void OpenRecord(const std::string& file) { g_record.open(file, std::ios::trunc); }

void Record(const std::string& line) {
  const std::lock_guard lock(g_record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(NowMs()) / 1000);
  g_record << time << line << "\n" << std::flush;
  std::cout << time << line << "\n" << std::flush;
}

int FreePort(const std::string& ip) {
  Address address{ip, 0};
  close(Listen(address));
  return address.port;
}

int Connect(const Address& to, const ConnectOptions& options) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (options.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof(int));
  }
  if (options.max_segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.max_segment, sizeof(int));
  }
  const sockaddr_in address = Sockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int fd, const std::string& bytes, int bytes_per_s) {
  constexpr std::size_t kBlock = 16 * 1024;
  const auto start = Clock::now();
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const std::size_t left = bytes.size() - sent;
    const ssize_t n = send(fd, bytes.data() + sent, bytes_per_s > 0 ? std::min(left, kBlock) : left,
                           MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
    if (bytes_per_s > 0) {
      std::this_thread::sleep_until(
          start +
          std::chrono::microseconds(sent * 1000000ULL / static_cast<std::size_t>(bytes_per_s)));
    }
  }
  return true;
}

std::string Request::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string Answer::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

bool RequestReader::Fill() {
  char bytes[65536];
  const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
  if (n <= 0) {
    return false;
  }
  m_buffer.append(bytes, static_cast<std::size_t>(n));
  return true;
}

std::optional<Request> RequestReader::Next() {
  std::size_t end;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  Request request;
  request.raw_head = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 4);
  const std::size_t blank = request.raw_head.find(' ');
  request.method = request.raw_head.substr(0, blank);
  request.path =
      request.raw_head.substr(blank + 1, request.raw_head.find(' ', blank + 1) - blank - 1);
  ParseHeaders(request.raw_head, request.headers);
  const auto size = static_cast<std::size_t>(std::atoll(request.Header("content-length").c_str()));
  while (m_buffer.size() < size) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  request.body = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return request;
}

Answer ReadAnswer(int fd, int bytes_per_s, int limit_ms) {
  Answer answer;
  std::string buffer;
  const auto until = Clock::now() + milliseconds(limit_ms);
  auto first_byte_at = Clock::now();
  bool head_done = false;
  std::size_t total = 0;
  std::size_t wanted = 0;
  answer.end = "open";
  for (;;) {
    if (head_done && answer.framing == "length" && buffer.size() >= wanted) {
      answer.complete = true;
      break;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd waiting{fd, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      answer.end = "timeout";
      break;
    }
    char bytes[8192];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      answer.end = n == 0 ? "fin" : "reset";
      answer.complete = n == 0 && head_done && answer.framing == "close";
      break;
    }
    if (total == 0) {
      first_byte_at = Clock::now();
    }
    buffer.append(bytes, static_cast<std::size_t>(n));
    total += static_cast<std::size_t>(n);
    const std::size_t end = head_done ? std::string::npos : buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      head_done = true;
      answer.status = std::atoi(buffer.c_str() + 9);
      ParseHeaders(buffer.substr(0, end), answer.headers);
      buffer.erase(0, end + 4);
      if (!answer.Header("content-length").empty()) {
        answer.framing = "length";
        wanted = static_cast<std::size_t>(std::atoll(answer.Header("content-length").c_str()));
      } else {
        answer.framing = answer.Header("transfer-encoding").empty() ? "close" : "chunked";
      }
    }
    if (bytes_per_s > 0) {
      std::this_thread::sleep_until(
          first_byte_at +
          std::chrono::microseconds(total * 1000000ULL / static_cast<std::size_t>(bytes_per_s)));
    }
  }
  answer.body = buffer;
  return answer;
}

Store::Store() : m_address{"127.0.0.1", 0} {
  m_listener = Listen(m_address);
  AcceptLoop(m_listener, [this](int fd) { Serve(fd); });
}

Store::~Store() = default;

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  m_rows[{table, key}] = {value, ++m_version, false};
  m_changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(m_mutex);
  m_rows[{table, key}] = {"", ++m_version, true};
  m_changed.notify_all();
}

std::string Store::Rows(const std::string& table, unsigned long long after, bool with_removed,
                        bool& any) {
  std::string rows;
  std::vector<std::pair<unsigned long long, std::string>> found;
  for (const auto& [key, row] : m_rows) {
    if (key.first != table || row.version <= after || (row.removed && !with_removed)) {
      continue;
    }
    found.push_back(
        {row.version,
         "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key.second +
             "\",\"schema-version\":" + std::to_string(row.version) +
             (row.removed ? ",\"deleted\":true}" : ",\"value\":\"" + Base64(row.value) + "\"}")});
  }
  if (with_removed) {
    std::sort(found.begin(), found.end());
  }
  for (const auto& entry : found) {
    rows += (rows.empty() ? "" : ",") + entry.second;
  }
  any = !found.empty();
  return "{\"rows\":[" + rows +
         "],\"has-more\":false,\"schema-version\":" + std::to_string(m_version) + ",\"now\":\"" +
         std::to_string(NowMs()) + "ms\"}";
}

void Store::Serve(int fd) {
  RequestReader reader(fd);
  while (const auto request = reader.Next()) {
    const std::string call = request->path.substr(0, request->path.find('?'));
    std::string reply;
    bool any = false;
    if (call == "/api/rows-get") {
      const std::lock_guard lock(m_mutex);
      reply = Reply(200, Rows(Query(request->path, "table"), 0, false, any));
    } else if (call == "/api/rows-feed") {
      std::unique_lock lock(m_mutex);
      const auto until =
          Clock::now() + milliseconds(std::atoll(Query(request->path, "wait-ms").c_str()));
      const auto after = std::strtoull(Query(request->path, "after").c_str(), nullptr, 10);
      for (;;) {
        const std::string rows = Rows(Query(request->path, "table"), after, true, any);
        if (any || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
          reply = Reply(200, any ? rows : Rows(Query(request->path, "table"), after, true, any));
          break;
        }
      }
    } else if (call == "/api/rows-tx") {
      Put(JsonText(request->body, "table"), JsonText(request->body, "key"),
          FromBase64(JsonText(request->body, "value")));
      reply = Reply(200, "{\"schema-version\":" + std::to_string(m_version) + ",\"now\":\"" +
                             std::to_string(NowMs()) + "ms\"}");
    } else {
      reply = Reply(404, "{}");
    }
    if (!SendAll(fd, reply)) {
      return;
    }
  }
}

Worker::Worker(Store& store, std::string id, std::string service, std::string zone,
               WorkerHandler handler, int queue)
    : m_store(store),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_handler(std::move(handler)),
      m_address{"127.0.0.1", 0},
      m_queue(queue) {
  m_listener = Listen(m_address);
  AcceptLoop(m_listener, [this](int fd) { Serve(fd); });
  WriteRow();
  m_heartbeat = std::thread([this] {
    while (!m_stopped) {
      for (int i = 0; i < 30 && !m_stopped; ++i) {
        Sleep(50);
      }
      WriteRow();
    }
  });
}

Worker::~Worker() {
  m_stopped = true;
  m_heartbeat.join();
}

void Worker::WriteRow() {
  m_store.Put("servers", m_id,
              "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.Text() +
                  "\",\"zone\":\"" + m_zone +
                  "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining\":"
                  "\"0ms\",\"sequence\":" +
                  std::to_string(++m_sequence) + ",\"born\":1700000000000}");
}

std::string Worker::AnswerHead(const Request& request, const std::string& status) const {
  return "HTTP/1.1 " + status +
         "\r\nQuetzalhinge-Request-Id: " + request.Header("quetzalhinge-request-id") +
         "\r\nQuetzalhinge-Response-Signature: receipt-" +
         request.Header("quetzalhinge-request-id") + "\r\nQuetzalhinge-Instance-Load: " + Load() +
         "\r\n";
}

bool Worker::TakeSlot() {
  std::unique_lock lock(m_slots_mutex);
  if (m_running >= kSlots) {
    if (m_waiting >= m_queue) {
      return false;
    }
    ++m_waiting;
    m_slot_freed.wait(lock, [this] { return m_running < kSlots; });
    --m_waiting;
  }
  ++m_running;
  return true;
}

void Worker::FreeSlot() {
  const std::lock_guard lock(m_slots_mutex);
  --m_running;
  m_slot_freed.notify_one();
}

std::string Worker::Load() const {
  const std::lock_guard lock(m_slots_mutex);
  return std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
         std::to_string(kSlots) + ",100";
}

void Worker::Serve(int fd) {
  RequestReader reader(fd);
  while (const auto request = reader.Next()) {
    if (request->path == "/health") {
      if (!SendAll(fd, "HTTP/1.1 200 OK\r\nQuetzalhinge-Instance-Id: " + m_id +
                           "\r\nQuetzalhinge-Instance-Load: " + std::to_string(m_running) +
                           ",0,6,100\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    if (!request->Header("quetzalhinge-expect-instance").empty() &&
        request->Header("quetzalhinge-expect-instance") != m_id) {
      SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nQuetzalhinge-Request-Id: " +
                      request->Header("quetzalhinge-request-id") +
                      "\r\nQuetzalhinge-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (!TakeSlot()) {
      {
        const std::lock_guard lock(g_unqueued_mutex);
        g_unqueued.push_back(request->Header("quetzalhinge-request-id"));
      }
      Record("worker " + m_id + ": full, never responds to " +
             request->Header("quetzalhinge-request-id"));
      while (reader.Next().has_value()) {
      }
      return;
    }
    const bool stays = m_handler(*this, *request, fd);
    FreeSlot();
    if (!stays) {
      return;
    }
  }
}

std::vector<std::string> UnqueuedRequests() {
  const std::lock_guard lock(g_unqueued_mutex);
  return g_unqueued;
}

const std::string& TemporaryFolder() {
  struct Folder {
    std::string path;
    Folder() {
      std::string name = (std::filesystem::temp_directory_path() / "qh-review-XXXXXX").string();
      path = mkdtemp(name.data()) == nullptr ? "" : name;
      if (path.empty()) {
        std::_Exit(2);
      }
    }
  };
  static Folder folder;
  return folder.path;
}

void CleanUp() {
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(TemporaryFolder());
  }
}

Gateway::Gateway(const Store& store, const std::string& name, const std::string& ip,
                 const std::string& zone)
    : m_name(name),
      m_callers{ip, FreePort(ip)},
      m_ready{ip, FreePort(ip)},
      m_addresses{ip, FreePort(ip)},
      m_settings(TemporaryFolder() + "/" + name + ".ini"),
      m_log(TemporaryFolder() + "/" + name + ".log") {
  // The fields of platform/gateway.ini with the values of the settings that DEPLOY.md shows.
  std::ofstream(m_settings) << "[vm]\nname = " << name << "\nzone = " << zone
                            << "\nregion = jawa\n[listen]\ncallers = " << m_callers.Text()
                            << "\nready = " << m_ready.Text()
                            << "\naddresses = " << m_addresses.Text() << "\ninternal_ip = " << ip
                            << "\ninternal_port = " << FreePort(ip)
                            << "\n[store]\nendpoint = " << store.Endpoint().Text()
                            << "\napply_within = 2000ms\n[gossip]\ndeployment_key = qh-platform-"
                            << store.Endpoint().Text()
                            << "-gossip\ninterval = 300 ms\n[callers]\ncatch_up = 4s\n"
                               "max_address_ttl = 5s\n[workers]\ndrain = 2000ms\n"
                               "[retries]\nshare = 0.2\nslack = 58\n[stop]\ngrace = 6s\n";
}

Gateway::~Gateway() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void Gateway::Start() {
  m_pid = fork();
  if (m_pid == 0) {
    // Ends with the case, also if the case itself is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    const char* program =
        std::getenv("GATEWAY") != nullptr ? std::getenv("GATEWAY") : "target/bin/qh-gateway";
    execl(program, program, "--settings", m_settings.c_str(), nullptr);
    std::_Exit(127);
  }
  Record(m_name + ": started qh-gateway, process " + std::to_string(m_pid) + ", callers at " +
         m_callers.Text());
}

void Gateway::Signal(int signal) { kill(m_pid, signal); }

bool Gateway::WaitForExit(int ms) {
  const auto until = Clock::now() + milliseconds(ms);
  while (Clock::now() < until) {
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      Record(m_name + ": process ended, " +
             (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "exit code " + std::to_string(WEXITSTATUS(status))));
      m_pid = -1;
      return true;
    }
    Sleep(10);
  }
  return false;
}

bool Gateway::WaitUntilReady(int ms) {
  const auto until = Clock::now() + milliseconds(ms);
  while (Clock::now() < until) {
    const int fd = Connect(m_ready);
    if (fd >= 0) {
      SendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      const Answer answer = ReadAnswer(fd, 0, 1000);
      close(fd);
      if (answer.status == 200) {
        return true;
      }
    }
    Sleep(50);
  }
  return false;
}

long Gateway::MemoryKb() const {
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
}

std::string ConfigurationText(int version, const std::vector<RouteSpec>& routes,
                              const std::vector<std::string>& services) {
  char number[16];
  std::snprintf(number, sizeof number, "%08x", static_cast<unsigned>(version));
  std::string text = std::string("{\"version\":\"") + number + "\",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const RouteSpec& route = routes[i];
    text += (i > 0 ? "," : "") + std::string("{\"name\":\"route-") + std::to_string(i) +
            "\",\"host\":\"" + kHost + "\",\"prefix\":\"" + route.prefix + "\",\"kind\":\"" +
            route.kind + "\",\"timeout\":\"" + route.timeout + "\",\"target-latency\":\"" +
            route.target_latency + "\",\"priority\":1,\"service\":\"" + route.service +
            "\",\"max-attempts\":2}";
  }
  text += "],\"services\":[";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text += (i > 0 ? "," : "") + std::string("{\"name\":\"") + services[i] +
            "\",\"health-path\":\"/health\",\"max-connections\":220}";
  }
  return text +
         "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
         "\"header-timeout\":\"3s\",\"idle-timeout\":\"15s\"}}";
}

std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        int time_left_ms, const std::string& body,
                        const std::string& more_headers) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nQuetzalhinge-Request-Id: " + id +
         "\r\nQuetzalhinge-Deadline-Ms: " + std::to_string(time_left_ms) + "\r\n" + more_headers +
         (body.empty() && method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

}  // namespace rig
