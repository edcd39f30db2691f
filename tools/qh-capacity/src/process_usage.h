#pragma once

#include <cstddef>
#include <functional>

namespace qh::capacity {

/** Returns the bytes that the allocator has handed out and not got back. */
std::size_t AllocatedBytes() noexcept;

/** Returns the processor time of this process in microseconds. */
double ProcessorMicros() noexcept;

/** Returns the processor time of `work` in microseconds. */
double MicrosOf(const std::function<void()>& work);

/** Returns by how many bytes `build` raises AllocatedBytes() while its result lives. */
template <typename Build>
double BytesOf(const Build& build) {
  const std::size_t before = AllocatedBytes();
  const auto held = build();
  const std::size_t after = AllocatedBytes();
  static_cast<void>(held);
  return static_cast<double>(after) - static_cast<double>(before);
}

/** Keeps the compiler from removing a computation whose result is not used. */
template <typename T>
void KeepResult(const T& value) noexcept {
  asm volatile("" : : "r"(&value) : "memory");
}

}  // namespace qh::capacity
