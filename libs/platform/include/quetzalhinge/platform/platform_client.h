#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/platform/table.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::platform {

/** Options of a PlatformClient. */
struct PlatformClientOptions {
  IpEndpoint endpoint;
  /** Whole duration of a request. */
  std::chrono::milliseconds request_timeout{1000};
};

/** What a PlatformClient has exchanged. Bytes are those of paths and bodies. */
struct PlatformTraffic {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/**
 * Client of the platform's table, object store and VM list (docs/interfaces.md). Never repeats a
 * request by itself. Errors of reads: kUnavailable (no connection, 503), kTimeout, kProtocol (the
 * answer has another form). Idle connections are dropped after a failure, because one that has gone
 * silent would fail the next request too.
 */
class PlatformClient {
 public:
  /** Called once, on the loop, as long as the client exists. */
  template <typename T>
  using Callback = std::function<void(T result)>;

  PlatformClient(net::EventLoop& loop, const PlatformClientOptions& options);

  /** Abandons the requests in progress; their callbacks will not run. */
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /** Reads one row; nothing if it is absent. */
  void ReadRow(const std::string& key, Callback<Result<std::optional<TableRow>>> callback);

  /**
   * Reads rows whose keys start with `prefix`, in key order.
   * @param after only keys greater than this one; may be empty
   * @param limit largest number of rows
   */
  void ReadRows(const std::string& prefix, const std::string& after, std::size_t limit,
                Callback<Result<std::vector<TableRow>>> callback);

  /** Performs a conditional transaction. */
  void Transact(const TableTransaction& transaction, Callback<TransactionResult> callback);

  /** Reads the VM list. */
  void ReadVmList(Callback<Result<VmList>> callback);

  /** Stores an object; after an error, whether it was stored is not known. */
  void PutObject(const std::string& name, const std::string& bytes,
                 Callback<Result<Success>> callback);

  /** Reads an object; nothing if it is absent. */
  void GetObject(const std::string& name, Callback<Result<std::optional<std::string>>> callback);

  /** Returns what was exchanged so far. */
  const PlatformTraffic& Traffic() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::platform
