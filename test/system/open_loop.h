#pragma once

#include <functional>
#include <vector>

#include "quetzalhinge/net/timer.h"
#include "test_deployment.h"

namespace qh::test {

/** Sends calls at fixed rates, whatever becomes of the earlier ones, while the loop runs. */
class OpenLoop {
 public:
  /** @param make_call returns the next call */
  OpenLoop(TestDeployment& deployment, int vms, std::function<http::HttpRequest()> make_call);
  OpenLoop(const OpenLoop&) = delete;
  OpenLoop& operator=(const OpenLoop&) = delete;

  /** Sets the calls a second to each VM. */
  void SetRates(std::vector<double> calls_per_second);

  /** Stops sending and waits until all calls have ended. */
  bool Drain();

  int Sent() const noexcept { return m_sent; }
  /** Returns the calls that were answered 200. */
  int Served() const noexcept { return m_served; }

 private:
  void Send();

  TestDeployment& m_deployment;
  std::function<http::HttpRequest()> m_make_call;
  std::vector<double> m_rates;
  std::vector<double> m_due;
  net::Timer m_timer;
  TimePoint m_last;
  int m_sent = 0;
  int m_ended = 0;
  int m_served = 0;
};

}  // namespace qh::test
