#include "process_usage.h"

#include <malloc.h>

#include <ctime>

namespace qh::capacity {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kNanosPerMicro = 1e3;

}  // namespace

std::size_t AllocatedBytes() noexcept {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double ProcessCpuMicros() noexcept {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMicro;
}

double MeasureCpuMicros(const std::function<void()>& work) {
  const double before = ProcessCpuMicros();
  work();
  return ProcessCpuMicros() - before;
}

}  // namespace qh::capacity
