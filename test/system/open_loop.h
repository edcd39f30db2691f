#pragma once

#include <functional>
#include <vector>

#include "quetzalhinge/net/timer.h"
#include "test_deployment.h"

namespace qh::test {

/** Open-loop load: sends calls at fixed rates, independent of the responses to earlier calls. */
class OpenLoop {
 public:
  /** @param make_call returns the request of the next call */
  OpenLoop(TestDeployment& deployment, int vms, std::function<http::HttpRequest()> make_call);
  OpenLoop(const OpenLoop&) = delete;
  OpenLoop& operator=(const OpenLoop&) = delete;

  /** Sets the rate for each VM in calls per second. */
  void SetRates(std::vector<double> calls_per_second);

  /** Stops sending and waits until all calls have completed; returns false after a time-out. */
  bool Drain();

  int Sent() const noexcept { return m_sent; }
  /** Returns the number of calls with the response status 200. */
  int Served() const noexcept { return m_served; }

 private:
  void Send();

  TestDeployment& m_deployment;
  std::function<http::HttpRequest()> m_make_call;
  std::vector<double> m_rates;
  std::vector<double> m_due_calls;
  net::Timer m_timer;
  TimePoint m_last_send;
  int m_sent = 0;
  int m_completed = 0;
  int m_served = 0;
};

}  // namespace qh::test
