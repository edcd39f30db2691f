#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/http/http_message.h"

namespace qh::http {

class MemoryReservation;

/** Limits of a MemoryBudget, in bytes of all messages together. */
struct MemoryBudgetOptions {
  /** Up to this limit, small messages are read. */
  std::size_t max_bytes = 0;
  /** Up to this limit, responses above MemoryBudget::kMaxSmallMessage are read. */
  std::size_t max_bytes_for_large_responses = 0;
  /** Up to this limit, requests above MemoryBudget::kMaxSmallMessage are read. */
  std::size_t max_bytes_for_large_requests = 0;
};

/**
 * Limit on the memory for the messages of all connections: those that are being read, and those
 * that are complete until the last copy is destroyed.
 *
 * When it is used up, the largest message that is being read is rejected, so that peers that send
 * without end do not keep small messages from being read; first among the large ones that have not
 * grown for kStalledAfter, so that peers that stop within a message do not keep large messages of
 * others from being read. Requests give way to responses, whose work is done. Complete messages are
 * never rejected.
 */
class MemoryBudget {
 public:
  /** Size up to which a message may use the part of the budget that is kept for small ones. */
  static constexpr std::size_t kMaxSmallMessage = 64 * 1024;

  /** Time without growth after which a message counts as stalled. */
  static constexpr std::chrono::milliseconds kStalledAfter{1000};

  using Clock = std::function<TimePoint()>;

  /** @param clock returns the current time; replaced in tests */
  explicit MemoryBudget(const MemoryBudgetOptions& options, Clock clock = SteadyNow)
      : m_options(options), m_clock(std::move(clock)) {}

  /** Creates a budget with one limit for all messages. */
  explicit MemoryBudget(std::size_t max_bytes)
      : MemoryBudget(MemoryBudgetOptions{max_bytes, max_bytes, max_bytes}) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /** Returns the bytes that are reserved now. */
  std::size_t Reserved() const noexcept {
    return Reserved(MessageKind::kRequest) + Reserved(MessageKind::kResponse);
  }
  std::size_t Reserved(MessageKind kind) const noexcept { return Of(kind).reserved; }

  /** Returns how many messages were rejected so far because there was no memory for them. */
  std::size_t RejectedMessages() const noexcept {
    return RejectedMessages(MessageKind::kRequest) + RejectedMessages(MessageKind::kResponse);
  }
  std::size_t RejectedMessages(MessageKind kind) const noexcept { return Of(kind).rejected; }

  const MemoryBudgetOptions& Options() const noexcept { return m_options; }

 private:
  friend class MemoryReservation;

  /** What the messages of one kind use. */
  struct Usage {
    std::size_t reserved = 0;
    std::size_t rejected = 0;
  };

  const Usage& Of(MessageKind kind) const noexcept {
    return m_usage[static_cast<std::size_t>(kind)];
  }
  Usage& Of(MessageKind kind) noexcept { return m_usage[static_cast<std::size_t>(kind)]; }
  std::size_t MaxReservedFor(MessageKind kind, std::size_t message_bytes) const noexcept;
  static TimePoint SteadyNow() { return std::chrono::steady_clock::now(); }

  MemoryBudgetOptions m_options;
  Clock m_clock;
  std::array<Usage, 2> m_usage;
  /** The messages that are being read and use any memory. */
  std::set<MemoryReservation*> m_reading;
};

/** The bytes of a budget that one message uses. Destroying it returns them. */
class MemoryReservation {
 public:
  /**
   * Creates the empty reservation of a message that is being read.
   * @param on_revoked called within Resize() of another reservation when this one has lost its
   *     bytes; must free the memory of the message
   */
  MemoryReservation(std::shared_ptr<MemoryBudget> budget, MessageKind kind,
                    std::function<void()> on_revoked);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /**
   * Changes the size to `bytes`. Returns false if the budget is used up and no other message is
   * larger; the reservation is empty then.
   */
  bool Resize(std::size_t bytes);

  /** Marks the message as complete. The reservation keeps its size and is no longer revoked. */
  void Complete();

 private:
  void SetSize(std::size_t bytes);
  MemoryReservation* FirstToRevoke();

  /** Returns whether this message is to be rejected before `other`. */
  bool GivesWayBefore(const MemoryReservation& other, TimePoint now) const;

  std::shared_ptr<MemoryBudget> m_budget;
  MessageKind m_kind;
  std::function<void()> m_on_revoked;
  std::size_t m_bytes = 0;
  TimePoint m_grown_at{};
};

}  // namespace qh::http
