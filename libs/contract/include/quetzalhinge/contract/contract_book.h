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

/** What ContractBook::Apply() did with a change. */
enum class ApplyOutcome {
  /** The change was the next one and is in force. */
  kApplied,
  /** The book already has this revision; nothing changed. */
  kAlreadyKnown,
  /** Revisions before this one are missing; nothing changed. Fetch ChangesSince(Revision()). */
  kGap,
  /**
   * The log has another operation at this revision, or the change's contract is invalid; nothing
   * changed. Cannot happen while the platform keeps its promises.
   */
  kConflict,
};

/** Bounds of a ContractBook. */
struct ContractBookOptions {
  /** Changes kept for peers that are behind; a peer further behind gets a snapshot. */
  std::size_t log_capacity = 1000;
  /** Longest time without confirmation during which the VM serves. */
  std::chrono::milliseconds confirmation_limit{4000};
};

/** Either the missing changes in order, or the full state if the log does not reach back. */
using ChangesAnswer = std::variant<std::vector<ContractChange>, ContractSnapshot>;

/**
 * All contracts in force, at one revision. Applies changes in order without gaps and never goes
 * back. Also decides whether the VM may serve under them (the confirmation limit).
 */
class ContractBook {
 public:
  explicit ContractBook(ContractBookOptions options = {});

  /** Applies the next change; see ApplyOutcome. Also counts as hearing of its revision. */
  ApplyOutcome Apply(ContractChange change);

  /**
   * Replaces the whole book if `snapshot` is newer and well formed (one valid contract per
   * customer, no revision above the snapshot's); returns whether it did. The log then starts after
   * it.
   */
  bool ApplySnapshot(ContractSnapshot snapshot);

  /**
   * Returns what a peer at `revision` lacks. Empty if the peer is not behind.
   * @param max_changes upper bound on the number of changes returned at once; at least 1
   */
  ChangesAnswer ChangesSince(Revision revision, std::size_t max_changes = 100) const;

  /** Returns the full state. */
  ContractSnapshot Snapshot() const;

  /**
   * Returns the customer's contract, or null. The pointer stays valid for a call in progress when
   * the contract changes.
   */
  std::shared_ptr<const Contract> Find(std::string_view customer) const;

  /** Returns the change that put the customer's contract in force, or null. Valid until changed. */
  const ContractChange* FindChange(std::string_view customer) const;

  /** Returns the revision at which the log holds an operation, or nothing if it does not. */
  std::optional<Revision> RevisionOfOperation(std::string_view operation_id) const;

  /** Returns all customers with a contract, in order of name. */
  std::vector<std::string> Customers() const;

  /** Returns the revision in force; 0 before the first change. */
  Revision CurrentRevision() const noexcept { return m_revision; }

  /** Returns the newest revision that anybody has told of; at least CurrentRevision(). */
  Revision NewestKnownRevision() const noexcept { return m_newest_heard; }

  /** Returns whether a newer revision is known to exist and has to be fetched. */
  bool IsBehind() const noexcept { return m_newest_heard > m_revision; }

  /** Records that `revision` exists, for example from a notice. */
  void ObserveRevision(Revision revision) noexcept;

  /**
   * Records that the platform or a peer knew nothing newer than `newest_there`.
   *
   * It is a confirmation only if that is exactly the book's revision and the book is not behind. A
   * peer with an older revision confirms nothing: it may itself be cut off or just have started.
   *
   * @param observed_at a moment at which the statement was still true: for an answer, the moment at
   *     which the question was sent; for a gossip message, its receipt less its age. The moment at
   *     which a paused process reads a queued message would be too late.
   */
  void Confirm(Revision newest_there, TimePoint observed_at) noexcept;

  /** Returns the latest confirmation's moment, or nothing before the first. */
  std::optional<TimePoint> ConfirmedAt() const noexcept { return m_confirmed_at; }

  /**
   * Returns whether the VM may serve: the latest confirmation is at most `confirmation_limit` old.
   * False before the first confirmation.
   */
  bool IsConfirmed(TimePoint now) const noexcept;

 private:
  bool IsKnownOperation(const ContractChange& change) const;

  ContractBookOptions m_options;
  Revision m_revision = 0;
  Revision m_newest_heard = 0;
  std::optional<TimePoint> m_confirmed_at;
  std::map<std::string, ContractChange, std::less<>> m_contracts;
  /** The changes up to m_revision, without gaps, oldest first. */
  std::deque<ContractChange> m_log;
};

}  // namespace qh::contract
