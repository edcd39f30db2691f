#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace qh::test {

/** A request that a ScriptedWorker received. */
struct ScriptedRequest {
  /** Path and query as received. */
  std::string path;
  /** Value of the header x-qh-request-id. */
  std::string request_id;
  /** Index of the connection in order of acceptance, from 0. */
  int connection = 0;
};

/** Writes bytes to the connection of a request; returns whether all could be written. */
using ScriptedWriter = std::function<bool(const std::string& bytes)>;

/** Writes arbitrary bytes as the response; returns whether the connection stays open. */
using Script = std::function<bool(const ScriptedRequest& request, const ScriptedWriter& write)>;

/**
 * A backend server whose responses are the raw bytes that a script writes, for protocol violations
 * that an HTTP library does not produce. The script runs in one thread per connection, so it can be
 * called concurrently.
 */
class ScriptedWorker {
 public:
  /** Starts listening; throws std::runtime_error if that fails. */
  ScriptedWorker(const std::string& ip, std::uint16_t port, Script script);
  ~ScriptedWorker();
  ScriptedWorker(const ScriptedWorker&) = delete;
  ScriptedWorker& operator=(const ScriptedWorker&) = delete;

  /** Returns the requests so far in order of arrival; health probes are answered but not listed. */
  std::vector<ScriptedRequest> Requests() const;

  /** Returns the number of connections accepted so far. */
  int Connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::test
