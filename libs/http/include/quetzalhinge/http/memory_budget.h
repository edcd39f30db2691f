#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace qh::http {

class MemoryReservation;

/**
 * Limit on the memory for the messages that several connections are reading. When it is used up,
 * the largest message is rejected, so that peers that send without end do not keep small messages
 * from being read.
 */
class MemoryBudget {
 public:
  /** @param max_bytes maximum of the reserved bytes of all messages together */
  explicit MemoryBudget(std::size_t max_bytes) noexcept : m_max_bytes(max_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /** Returns the bytes that are reserved now. */
  std::size_t Reserved() const noexcept { return m_reserved; }

  /** Returns how many messages were rejected so far because there was no memory for them. */
  std::size_t RejectedMessages() const noexcept { return m_rejected_messages; }

 private:
  friend class MemoryReservation;

  std::size_t m_max_bytes;
  std::size_t m_reserved = 0;
  std::size_t m_rejected_messages = 0;
  /** The reservations that are not empty. */
  std::set<MemoryReservation*> m_reservations;
};

/** The bytes of a budget that one message uses. Destroying it returns them. */
class MemoryReservation {
 public:
  /**
   * @param budget null for a message whose memory is not limited together with that of others
   * @param on_revoked called within Resize() of another reservation when this one has lost its
   *     bytes; must free the memory of the message
   */
  MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::function<void()> on_revoked);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /**
   * Changes the size to `bytes`. Returns false if the budget is used up and no other message is
   * larger; the reservation is empty then.
   */
  bool Resize(std::size_t bytes);

 private:
  void SetSize(std::size_t bytes);

  std::shared_ptr<MemoryBudget> m_budget;
  std::function<void()> m_on_revoked;
  std::size_t m_bytes = 0;
};

}  // namespace qh::http
