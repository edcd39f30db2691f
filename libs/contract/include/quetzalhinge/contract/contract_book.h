#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/contract/contract_change.h"

namespace qh::contract {

/** Result of ContractBook::Apply(). */
enum class ApplyOutcome {
  /** The change was the next revision and is in force. */
  kApplied,
  /** The book already has this revision; nothing changed. */
  kAlreadyKnown,
  /** Earlier revisions are missing; nothing changed. Fetch ChangesSince(CurrentRevision()). */
  kGap,
  /**
   * The log has a different operation at this revision, or the change is invalid; nothing changed.
   * Cannot happen unless the platform violates its guarantees.
   */
  kConflict,
};

/** Limits of a ContractBook. */
struct ContractBookOptions {
  /** Number of changes retained for peers that lag; a peer that lags further gets a snapshot. */
  std::size_t log_capacity = 1000;
  /** Maximum age of the latest confirmation at which the VM may serve requests. */
  std::chrono::milliseconds confirmation_limit{4000};
};

/** The missing changes in order, or the full state if the log no longer contains all of them. */
using ChangesAnswer = std::variant<std::vector<ContractChange>, ContractSnapshot>;

/**
 * All contracts in force at one revision. Changes are applied in order and without gaps, and the
 * revision never decreases. The book also determines whether it is confirmed recently enough for
 * the VM to serve requests (see ContractBookOptions::confirmation_limit).
 */
class ContractBook {
 public:
  explicit ContractBook(ContractBookOptions options = {});

  /** Applies the next change, see ApplyOutcome. Also calls ObserveRevision() for a valid change. */
  ApplyOutcome Apply(ContractChange change);

  /**
   * Replaces the contents if `snapshot` is newer and well formed (one valid contract per customer,
   * no revision above that of the snapshot), and clears the log. Returns whether it did.
   */
  bool ApplySnapshot(ContractSnapshot snapshot);

  /**
   * Returns the changes after `revision` for a peer; empty if the peer does not lag.
   * @param max_changes maximum number of changes to return, at least 1
   */
  ChangesAnswer ChangesSince(Revision revision, std::size_t max_changes = 100) const;

  /** Returns the full state. */
  ContractSnapshot Snapshot() const;

  /**
   * Returns the customer's contract, or nullptr. A call in progress can keep using the contract
   * after it has been replaced in the book.
   */
  std::shared_ptr<const Contract> Find(std::string_view customer) const;

  /**
   * Returns the change that put the customer's contract in force, or nullptr. The pointer is valid
   * until the next Apply() or ApplySnapshot().
   */
  const ContractChange* FindChange(std::string_view customer) const;

  /**
   * Returns the revision of an operation in the log or of a contract in force; std::nullopt if the
   * operation is in neither.
   */
  std::optional<Revision> RevisionOfOperation(std::string_view operation_id) const;

  /** Returns the names of all customers with a contract, sorted. */
  std::vector<std::string> Customers() const;

  /** Returns the revision in force; 0 before the first change. */
  Revision CurrentRevision() const noexcept { return m_revision; }

  /** Returns the newest revision known to exist; at least CurrentRevision(). */
  Revision NewestKnownRevision() const noexcept { return m_newest_known_revision; }

  /** Returns whether a newer revision is known to exist and must be fetched. */
  bool IsBehind() const noexcept { return m_newest_known_revision > m_revision; }

  /** Records that `revision` exists, for example after a notice from a peer. */
  void ObserveRevision(Revision revision) noexcept;

  /**
   * Records that `newest_revision` was the newest revision known to the platform or a peer.
   *
   * This confirms the book only if it equals the current revision and the book is not behind. A
   * peer with an older revision does not confirm the book, because the peer may be partitioned or
   * may have just started.
   *
   * @param observed_at a time at which the statement was still true: for a response, the time at
   *     which the request was sent; for a gossip message, its arrival time less its age. Do not use
   *     the time at which a process reads a queued message, which is too late after a pause.
   */
  void Confirm(Revision newest_revision, TimePoint observed_at) noexcept;

  /** Returns the time of the latest confirmation; std::nullopt before the first one. */
  std::optional<TimePoint> ConfirmedAt() const noexcept { return m_confirmed_at; }

  /**
   * Returns whether the VM may serve requests: the latest confirmation is at most
   * `confirmation_limit` old. False before the first confirmation.
   */
  bool IsConfirmed(TimePoint now) const noexcept;

 private:
  bool IsKnownOperation(const ContractChange& change) const;

  ContractBookOptions m_options;
  Revision m_revision = 0;
  Revision m_newest_known_revision = 0;
  std::optional<TimePoint> m_confirmed_at;
  std::map<std::string, ContractChange, std::less<>> m_contracts;
  /** The changes up to m_revision, without gaps, oldest first. */
  std::deque<ContractChange> m_log;
};

}  // namespace qh::contract
