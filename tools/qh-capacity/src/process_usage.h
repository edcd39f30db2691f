#pragma once

#include <cstddef>
#include <functional>

namespace qh::capacity {

/** Returns the number of bytes that are currently allocated on the heap. */
std::size_t AllocatedBytes() noexcept;

/** Returns the CPU time that this process has used, in microseconds. */
double ProcessCpuMicros() noexcept;

/** Runs `work` and returns the CPU time that it used, in microseconds. */
double MeasureCpuMicros(const std::function<void()>& work);

/** Returns the number of heap bytes that the result of `build` occupies. */
template <typename Build>
double MeasureAllocatedBytes(const Build& build) {
  const std::size_t before = AllocatedBytes();
  const auto result = build();
  const std::size_t after = AllocatedBytes();
  static_cast<void>(result);
  return static_cast<double>(after) - static_cast<double>(before);
}

/** Prevents the compiler from removing a computation whose result is otherwise unused. */
template <typename T>
void DoNotOptimize(const T& value) noexcept {
  asm volatile("" : : "r"(&value) : "memory");
}

}  // namespace qh::capacity
