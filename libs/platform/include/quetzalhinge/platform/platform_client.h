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
  /** Time-out of a request, including the time to connect. */
  std::chrono::milliseconds request_timeout{1000};
};

/** Traffic counters of a PlatformClient. Bytes count paths and bodies only, not headers. */
struct PlatformTraffic {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/**
 * Client of the platform's table, object store and VM list (docs/interfaces.md). It does not retry
 * requests. Errors of reads: kUnavailable (no connection, or status 503), kTimeout, kProtocol
 * (unexpected status or malformed body). After a call without a response it discards all idle
 * connections, because a connection that no longer responds would also fail the next request.
 */
class PlatformClient {
 public:
  /** Called once, on the event loop, unless the client is destroyed first. */
  template <typename T>
  using Callback = std::function<void(T result)>;

  PlatformClient(net::EventLoop& loop, const PlatformClientOptions& options);

  /** Cancels the requests in progress; their callbacks will not run. */
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /** Reads one row; the result is std::nullopt if the row is absent. */
  void ReadRow(const std::string& key, Callback<Result<std::optional<TableRow>>> callback);

  /**
   * Reads rows whose keys start with `prefix`, in key order.
   * @param after returns only rows with a greater key; may be empty
   * @param limit maximum number of rows
   */
  void ReadRows(const std::string& prefix, const std::string& after, std::size_t limit,
                Callback<Result<std::vector<TableRow>>> callback);

  /** Performs a conditional transaction. */
  void Transact(const TableTransaction& transaction, Callback<TransactionResult> callback);

  /** Reads the VM list. */
  void ReadVmList(Callback<Result<VmList>> callback);

  /** Stores an object. After an error, the object may or may not have been stored. */
  void PutObject(const std::string& name, const std::string& bytes,
                 Callback<Result<Success>> callback);

  /** Reads an object; the result is std::nullopt if the object is absent. */
  void GetObject(const std::string& name, Callback<Result<std::optional<std::string>>> callback);

  /** Returns the traffic since construction. */
  const PlatformTraffic& Traffic() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::platform
