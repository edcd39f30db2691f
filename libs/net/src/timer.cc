#include "quetzalhinge/net/timer.h"

#include <uv.h>

#include <utility>

namespace qh::net {

struct Timer::Impl {
  uv_timer_t handle{};
  std::function<void()> callback;

  static void OnTimer(uv_timer_t* handle) {
    auto* impl = static_cast<Impl*>(handle->data);
    // Copied, because the callback may destroy the timer that owns it.
    const std::function<void()> callback = impl->callback;
    callback();
  }
};

Timer::Timer(EventLoop& loop, std::function<void()> callback) : m_impl(new Impl) {
  m_impl->callback = std::move(callback);
  uv_timer_init(loop.Handle(), &m_impl->handle);
  m_impl->handle.data = m_impl;
}

Timer::~Timer() {
  uv_timer_stop(&m_impl->handle);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_impl->handle),
           [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
}

void Timer::StartOnce(std::chrono::milliseconds delay) {
  uv_update_time(m_impl->handle.loop);
  uv_timer_start(&m_impl->handle, Impl::OnTimer, static_cast<std::uint64_t>(delay.count()), 0);
}

void Timer::StartRepeating(std::chrono::milliseconds interval) {
  const auto millis = static_cast<std::uint64_t>(interval.count());
  uv_timer_start(&m_impl->handle, Impl::OnTimer, millis, millis);
}

void Timer::Stop() { uv_timer_stop(&m_impl->handle); }

}  // namespace qh::net
