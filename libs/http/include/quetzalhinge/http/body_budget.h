#pragma once

#include <cstddef>

namespace qh::http {

/**
 * Memory for the bodies that several connections are reading. Small bodies need no budget, so that
 * a few peers that send without end cannot keep the others from being read.
 */
class BodyBudget {
 public:
  /**
   * @param max_bytes maximum of the reserved bytes of all bodies together
   * @param free_bytes bytes of each body that need no reservation
   */
  BodyBudget(std::size_t max_bytes, std::size_t free_bytes) noexcept
      : m_max_bytes(max_bytes), m_free_bytes(free_bytes) {}

  /** Returns the bytes that a body of `size` bytes must have reserved. */
  std::size_t Needed(std::size_t size) const noexcept {
    return size > m_free_bytes ? size - m_free_bytes : 0;
  }

  /** Reserves `bytes`; returns false, without effect, if the budget does not allow them. */
  bool TryReserve(std::size_t bytes) noexcept {
    if (bytes > m_max_bytes - m_reserved) {
      return false;
    }
    m_reserved += bytes;
    return true;
  }

  /** Returns `bytes` that were reserved. */
  void Release(std::size_t bytes) noexcept { m_reserved -= bytes; }

  std::size_t Reserved() const noexcept { return m_reserved; }

 private:
  std::size_t m_max_bytes;
  std::size_t m_free_bytes;
  std::size_t m_reserved = 0;
};

}  // namespace qh::http
