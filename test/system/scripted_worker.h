#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace qh::test {

/** A request that a ScriptedWorker received. */
struct ScriptedRequest {
  /** Path and query as the worker saw them. */
  std::string path;
  /** Field x-qh-request-id. */
  std::string request_id;
  /** Number of the connection, counted from 0. */
  int connection = 0;
};

/** Writes bytes to the connection of a request; returns whether the peer still took them. */
using ScriptedWriter = std::function<bool(const std::string& bytes)>;

/** Answers a request with any bytes; returns whether the connection stays open. */
using Script = std::function<bool(const ScriptedRequest& request, const ScriptedWriter& write)>;

/**
 * A backend server that answers with the bytes that a script writes, so that it can break the
 * protocol in ways that a library would not. Each connection has its own thread, which runs the
 * script.
 */
class ScriptedWorker {
 public:
  /** Listens; throws std::runtime_error if that fails. */
  ScriptedWorker(const std::string& ip, std::uint16_t port, Script script);
  ~ScriptedWorker();
  ScriptedWorker(const ScriptedWorker&) = delete;
  ScriptedWorker& operator=(const ScriptedWorker&) = delete;

  /** Returns the calls so far in order of arrival; health probes are answered but not listed. */
  std::vector<ScriptedRequest> Requests() const;

  /** Returns the number of connections accepted so far. */
  int Connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::test
