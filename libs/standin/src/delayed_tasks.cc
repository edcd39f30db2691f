#include "quetzalhinge/standin/delayed_tasks.h"

#include <utility>

namespace qh::standin {

DelayedTasks::DelayedTasks(net::EventLoop& loop) : m_loop(loop) {}

std::uint64_t DelayedTasks::Start(std::chrono::milliseconds delay, std::function<void()> task) {
  const std::uint64_t id = m_next_id++;
  auto timer = std::make_unique<net::Timer>(m_loop, [this, id, task = std::move(task)] {
    m_timers.erase(id);
    task();
  });
  timer->StartOnce(delay);
  m_timers.emplace(id, std::move(timer));
  return id;
}

void DelayedTasks::Cancel(std::uint64_t id) { m_timers.erase(id); }

void DelayedTasks::Clear() { m_timers.clear(); }

}  // namespace qh::standin
