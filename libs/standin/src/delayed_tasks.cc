#include "quetzalhinge/standin/delayed_tasks.h"

#include <utility>

namespace qh::standin {

DelayedTasks::DelayedTasks(net::EventLoop& loop) : m_loop(loop) {}

std::uint64_t DelayedTasks::Start(std::chrono::milliseconds delay, std::function<void()> task) {
  const std::uint64_t number = m_next++;
  auto timer = std::make_unique<net::Timer>(m_loop, [this, number, task = std::move(task)] {
    m_timers.erase(number);
    task();
  });
  timer->StartOnce(delay);
  m_timers.emplace(number, std::move(timer));
  return number;
}

void DelayedTasks::Cancel(std::uint64_t number) { m_timers.erase(number); }

void DelayedTasks::Clear() { m_timers.clear(); }

}  // namespace qh::standin
