#include "quetzalhinge/net/event_loop.h"

#include <uv.h>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

namespace qh::net {

struct EventLoop::Impl {
  uv_loop_t loop{};
  /** Wakes the loop for posted tasks and for Stop(). */
  uv_async_t post_wakeup{};
  /** Limits the wait of RunOnce(). */
  uv_timer_t run_limit{};
  std::vector<std::function<void()>> posted;
  std::vector<std::shared_ptr<void>> kept_until_closed;
};

namespace {

/** Maximum number of iterations in the destructor for posted tasks that post further tasks. */
constexpr int kMaxFinalIterations = 16;

void CloseIfOpen(uv_handle_t* handle, void* /*unused*/) {
  if (uv_is_closing(handle) == 0) {
    uv_close(handle, nullptr);
  }
}

}  // namespace

EventLoop::EventLoop() : m_impl(std::make_unique<Impl>()) {
  // Writing to a connection that the peer has closed must return an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  uv_loop_init(&m_impl->loop);
  uv_async_init(&m_impl->loop, &m_impl->post_wakeup, [](uv_async_t* handle) {
    auto* impl = static_cast<Impl*>(handle->data);
    std::vector<std::function<void()>> tasks;
    tasks.swap(impl->posted);
    for (const std::function<void()>& task : tasks) {
      task();
    }
  });
  m_impl->post_wakeup.data = m_impl.get();
  uv_timer_init(&m_impl->loop, &m_impl->run_limit);
}

EventLoop::~EventLoop() {
  // Objects destroyed earlier may have posted tasks that release their resources. Such a task may
  // post another one.
  for (int iteration = 0; iteration < kMaxFinalIterations && !m_impl->posted.empty(); ++iteration) {
    uv_run(&m_impl->loop, UV_RUN_NOWAIT);
  }
  uv_walk(&m_impl->loop, CloseIfOpen, nullptr);
  uv_run(&m_impl->loop, UV_RUN_DEFAULT);
  uv_loop_close(&m_impl->loop);
}

void EventLoop::Run() { uv_run(&m_impl->loop, UV_RUN_DEFAULT); }

void EventLoop::Stop() noexcept {
  uv_stop(&m_impl->loop);
  uv_async_send(&m_impl->post_wakeup);
}

void EventLoop::RunOnce(std::chrono::milliseconds limit) {
  // Repeats, because libuv runs due timers before it waits: after a pause of the process that was
  // longer than `limit`, a timer that runs once would not limit the wait.
  const auto millis = static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit.count()));
  uv_timer_start(
      &m_impl->run_limit, [](uv_timer_t*) {}, millis, millis);
  uv_run(&m_impl->loop, UV_RUN_ONCE);
  uv_timer_stop(&m_impl->run_limit);
}

void EventLoop::Post(std::function<void()> task) {
  m_impl->posted.push_back(std::move(task));
  uv_async_send(&m_impl->post_wakeup);
}

void EventLoop::KeepUntilClosed(std::shared_ptr<void> object) {
  m_impl->kept_until_closed.push_back(std::move(object));
}

uv_loop_s* EventLoop::Handle() noexcept { return &m_impl->loop; }

}  // namespace qh::net
