#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/** Stand-ins of the platform's store, of workers and of callers for the cases in review/. */
namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

void Sleep(int ms);

/** Milliseconds since the start of the program. */
long long NowMs();

/** Writes one line with its time to record.txt. */
void Record(const std::string& line);
void OpenRecord(const std::string& file);

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/** Returns a port of `ip` that was free a moment ago. */
int FreePort(const std::string& ip);

/** Options of a connection that a caller opens. */
struct ConnectOptions {
  /** Receive buffer in bytes, which limits the window; 0 for the default of the system. */
  int receive_buffer = 0;
  /** Largest TCP segment; 0 for the default of the loopback device. */
  int max_segment = 0;
};

int Connect(const Address& to, const ConnectOptions& options = {});
/** Sends `bytes`, at most `bytes_per_s` if that is not 0. */
bool SendAll(int fd, const std::string& bytes, int bytes_per_s = 0);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string raw_head;
  std::string Header(const std::string& name) const;
};

/** Reads requests from a connection. */
class RequestReader {
 public:
  explicit RequestReader(int fd) : m_fd(fd) {}
  std::optional<Request> Next();

 private:
  bool Fill();
  int m_fd;
  std::string m_buffer;
};

/** What a caller received. */
struct Answer {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /** Whether the body ended as its framing says; a body without a length ends with a FIN. */
  bool complete = false;
  /** "length", "chunked", "close" or "none". */
  std::string framing = "none";
  /** "open", "fin", "reset" or "timeout": how the connection stood when reading ended. */
  std::string end;
  std::string Header(const std::string& name) const;
};

/** Reads one answer, at most `bytes_per_s` if that is not 0, until `limit_ms` have passed. */
Answer ReadAnswer(int fd, int bytes_per_s, int limit_ms);

/** The platform's store: rows-get, rows-feed and rows-tx, as PROTOCOL.md describes them. */
class Store {
 public:
  Store();
  ~Store();
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  const Address& Endpoint() const { return m_address; }

 private:
  struct Row {
    std::string value;
    unsigned long long version = 0;
    bool removed = false;
  };
  void Serve(int fd);
  std::string Rows(const std::string& table, unsigned long long after, bool with_removed,
                   bool& any);
  Address m_address;
  int m_listener = -1;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::pair<std::string, std::string>, Row> m_rows;
  unsigned long long m_version = 0;
};

class Worker;
/** Answers one request on `fd`; returns whether the connection stays open. */
using WorkerHandler = std::function<bool(Worker& worker, const Request& request, int fd)>;

/** A worker, which registers itself and sends its status report every 1.5 s. */
class Worker {
 public:
  /**
   * @param queue requests that wait for a slot at most; like the workers with on_full = "hang", the
   *     worker never responds to a request that it can't queue, nor to later ones on its connection
   */
  Worker(Store& store, std::string id, std::string service, std::string zone, WorkerHandler handler,
         int queue = kNoLimit);
  static constexpr int kSlots = 6;
  static constexpr int kNoLimit = 1000;
  ~Worker();
  const std::string& Id() const { return m_id; }
  /** Head lines that each answer of a worker to `request` has, with the receipt. */
  std::string AnswerHead(const Request& request, const std::string& status) const;

 private:
  void Serve(int fd);
  /** Waits for a slot; returns false if the request can't be queued. */
  bool TakeSlot();
  void FreeSlot();
  std::string Load() const;
  void WriteRow();
  Store& m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  WorkerHandler m_handler;
  Address m_address;
  int m_listener = -1;
  std::atomic<int> m_sequence{0};
  int m_queue;
  mutable std::mutex m_slots_mutex;
  std::condition_variable m_slot_freed;
  int m_running = 0;
  int m_waiting = 0;
  std::atomic<bool> m_stopped{false};
  std::thread m_heartbeat;
};

/** Ids of the requests that full workers got and will never respond to. */
std::vector<std::string> UnqueuedRequests();

/** One machine: the program of the deploy file with its settings in a temporary folder. */
class Gateway {
 public:
  Gateway(const Store& store, const std::string& name, const std::string& ip,
          const std::string& zone);
  ~Gateway();
  void Start();
  void Signal(int signal);
  /** Waits until the process has ended; returns false after `ms`. */
  bool WaitForExit(int ms);
  /** Waits until /api/ready answers 200. */
  bool WaitUntilReady(int ms);
  const Address& Callers() const { return m_callers; }
  pid_t Pid() const { return m_pid; }
  /** Resident memory in KB. */
  long MemoryKb() const;

 private:
  std::string m_name;
  Address m_callers, m_ready, m_addresses;
  std::string m_settings, m_log;
  pid_t m_pid = -1;
};

/** Folder for settings and logs. */
const std::string& TemporaryFolder();
/** Removes the folder, unless KEEP is set. */
void CleanUp();

struct RouteSpec {
  std::string prefix;
  std::string kind;
  std::string service;
  std::string timeout;
  std::string target_latency;
};

std::string ConfigurationText(int version, const std::vector<RouteSpec>& routes,
                              const std::vector<std::string>& services);

constexpr const char* kHost = "review.example";

/** Text of a request of a caller. */
std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        int time_left_ms, const std::string& body = "",
                        const std::string& more_headers = "");

}  // namespace rig
