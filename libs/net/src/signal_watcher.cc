#include "quetzalhinge/net/signal_watcher.h"

#include <uv.h>

#include <array>
#include <csignal>
#include <utility>

namespace qh::net {
namespace {

constexpr std::array<int, 2> kStopSignals{SIGTERM, SIGINT};

}  // namespace

struct SignalWatcher::Impl {
  std::array<uv_signal_t, kStopSignals.size() + 1> handles{};
  std::function<void(int)> on_stop_signal;
  std::function<void()> on_reload;
  int stop_signal_count = 0;
  std::size_t open_handles = handles.size();

  static void OnSignal(uv_signal_t* handle, int signal) {
    auto* impl = static_cast<Impl*>(handle->data);
    if (signal == SIGHUP) {
      impl->on_reload();
      return;
    }
    impl->on_stop_signal(++impl->stop_signal_count);
  }

  static void OnClosed(uv_handle_t* handle) {
    auto* impl = static_cast<Impl*>(handle->data);
    if (--impl->open_handles == 0) {
      delete impl;
    }
  }
};

SignalWatcher::SignalWatcher(EventLoop& loop, std::function<void(int)> on_stop_signal)
    : m_impl(new Impl) {
  m_impl->on_stop_signal = std::move(on_stop_signal);
  for (uv_signal_t& handle : m_impl->handles) {
    uv_signal_init(loop.Handle(), &handle);
    handle.data = m_impl;
  }
  for (std::size_t i = 0; i < kStopSignals.size(); ++i) {
    uv_signal_start(&m_impl->handles[i], Impl::OnSignal, kStopSignals[i]);
  }
}

void SignalWatcher::OnReloadSignal(std::function<void()> on_reload) {
  m_impl->on_reload = std::move(on_reload);
  uv_signal_start(&m_impl->handles.back(), Impl::OnSignal, SIGHUP);
}

SignalWatcher::~SignalWatcher() {
  for (uv_signal_t& handle : m_impl->handles) {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle), Impl::OnClosed);
  }
}

}  // namespace qh::net
