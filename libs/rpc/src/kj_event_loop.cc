#include "quetzalhinge/rpc/kj_event_loop.h"

#include <uv.h>

namespace qh::rpc {
namespace {

/** Runs the KJ event queue from iterations of the libuv event loop. */
class UvEventPort : public kj::EventPort {
 public:
  explicit UvEventPort(uv_loop_t* loop) : m_loop(loop), m_idle(new uv_idle_t{}) {
    uv_idle_init(loop, m_idle);
    m_idle->data = this;
  }

  ~UvEventPort() {
    uv_idle_stop(m_idle);
    uv_close(reinterpret_cast<uv_handle_t*>(m_idle),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_idle_t*>(handle); });
  }

  void SetLoop(kj::EventLoop* kj_loop) noexcept { m_kj_loop = kj_loop; }

  // KJ's interface defines the names of the following functions.
  // NOLINTBEGIN(readability-identifier-naming)
  bool wait() override {
    uv_run(m_loop, UV_RUN_ONCE);
    return false;
  }

  bool poll() override {
    uv_run(m_loop, UV_RUN_NOWAIT);
    return false;
  }

  void setRunnable(bool runnable) override {
    m_runnable = runnable;
    if (runnable) {
      // An active idle handle prevents libuv from blocking in poll, so the queue runs immediately.
      uv_idle_start(m_idle, OnIdle);
    }
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  static void OnIdle(uv_idle_t* idle) {
    auto* port = static_cast<UvEventPort*>(idle->data);
    port->m_kj_loop->run();
    if (!port->m_runnable) {
      uv_idle_stop(idle);
    }
  }

  uv_loop_t* m_loop;
  uv_idle_t* m_idle;
  kj::EventLoop* m_kj_loop = nullptr;
  bool m_runnable = false;
};

/** Ignores exceptions of detached promises. */
class IgnoringErrorHandler : public kj::TaskSet::ErrorHandler {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): defined by KJ's interface.
  void taskFailed(kj::Exception&& /*exception*/) override {}
};

}  // namespace

struct KjEventLoop::Impl {
  net::EventLoop& loop;
  UvEventPort port;
  kj::EventLoop kj_loop;
  kj::WaitScope wait_scope;
  IgnoringErrorHandler error_handler;
  kj::TaskSet tasks;

  explicit Impl(net::EventLoop& event_loop)
      : loop(event_loop),
        port(event_loop.Handle()),
        kj_loop(port),
        wait_scope(kj_loop),
        tasks(error_handler) {
    port.SetLoop(&kj_loop);
  }
};

KjEventLoop::KjEventLoop(net::EventLoop& loop) : m_impl(std::make_unique<Impl>(loop)) {}
KjEventLoop::~KjEventLoop() = default;

void KjEventLoop::Detach(kj::Promise<void> promise) { m_impl->tasks.add(kj::mv(promise)); }

net::EventLoop& KjEventLoop::Loop() noexcept { return m_impl->loop; }

std::string DescribeException(const kj::Exception& exception) {
  return exception.getDescription().cStr();
}

}  // namespace qh::rpc
