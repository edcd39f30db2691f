#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::ctl {

/** A whole answer of a qh-control. */
struct OperatorAnswer {
  int status = 0;
  /** Null if the body was no JSON. */
  nlohmann::json body;
  IpEndpoint from;
};

/** Blocking client of the operators' interface of several qh-control processes. */
class OperatorClient {
 public:
  /** @param operators asked in this order; the next one when one does not answer */
  OperatorClient(std::vector<IpEndpoint> operators, std::string token);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /**
   * Reads from the first operator that answers with another status than 503. The error is of the
   * last one asked.
   */
  Result<OperatorAnswer> Get(const std::string& path);

  /**
   * Sends a change until an operator gives a final answer, at most kRounds times at each. The body
   * must name an operation, which makes a repeated change take effect once. The error's detail says
   * whether nothing was written or whether that is not known.
   */
  Result<OperatorAnswer> Change(const std::string& method, const std::string& path,
                                const nlohmann::json& body);

  /** Sends one request to one operator. */
  Result<OperatorAnswer> CallAt(const IpEndpoint& peer, const std::string& method,
                                const std::string& path, const nlohmann::json& body);

  /** Sends a GET to all peers at once; the results are in the same order. */
  std::vector<Result<OperatorAnswer>> GetFromAll(const std::vector<IpEndpoint>& peers,
                                                 const std::string& path);

  /** Waits. */
  void Sleep(std::chrono::milliseconds duration);

  static constexpr int kRounds = 3;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::ctl
