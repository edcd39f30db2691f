#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::ctl {

/** A complete response of a qh-control. */
struct OperatorResponse {
  int status = 0;
  /** Null if the body is not JSON. */
  nlohmann::json body;
  IpEndpoint from;
};

/** Blocking client of the operator API of several qh-control processes. */
class OperatorClient {
 public:
  /**
   * @param operators addresses, tried in this order until one responds
   * @param token operator token, sent as bearer token
   */
  OperatorClient(std::vector<IpEndpoint> operators, std::string token);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /**
   * Sends a GET to the addresses in order until one responds with a status other than 503.
   * Otherwise returns the response or error of the last address.
   */
  Result<OperatorResponse> Get(const std::string& path);

  /**
   * Sends a change until an address responds with a status other than 503, at most kMaxRounds times
   * to each. The body must contain an operation id, so that a repeated change is applied only once.
   * The detail of the error says whether nothing was written or whether that is unknown.
   */
  Result<OperatorResponse> Change(const std::string& method, const std::string& path,
                                  const nlohmann::json& body);

  /** Sends one request to one address. */
  Result<OperatorResponse> CallAt(const IpEndpoint& peer, const std::string& method,
                                  const std::string& path, const nlohmann::json& body);

  /** Sends a GET to all peers concurrently; the results are in the order of `peers`. */
  std::vector<Result<OperatorResponse>> GetFromAll(const std::vector<IpEndpoint>& peers,
                                                   const std::string& path);

  /** Runs the event loop for `duration`. */
  void Sleep(std::chrono::milliseconds duration);

  static constexpr int kMaxRounds = 3;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::ctl
