#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "quetzalhinge/contract/contract_change.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/platform/platform_client.h"

namespace qh::control {

/** An operator's request to change or remove one customer's contract. */
struct ContractCommand {
  std::string customer;
  /** Null to remove the contract. */
  std::shared_ptr<const contract::Contract> contract;
  /** Identifies the command; unchanged when the operator's client resends it. */
  std::string operation_id;
  std::string author;
  /** Version the change is based on, 0 for no contract; std::nullopt accepts any version. */
  std::optional<std::uint64_t> expect_version;
};

/** The change is in the table, written by this command or an earlier one with its operation. */
struct CommandAccepted {
  contract::ContractChange change;
};

/** Another change was accepted first. Nothing was written. */
struct CommandConflict {
  /** Current version; 0 if the customer has no contract. */
  std::uint64_t version = 0;
  /** Author of the customer's latest change. */
  std::string author;
};

/** Reason why a command was permanently refused. Nothing was written. */
enum class CommandRefusal {
  /** There is no contract to remove. */
  kNoContract,
  /** The operation identifier was already used for a different change. */
  kOperationReused,
};

/** The platform failed, or concurrent changes exhausted the retry time limit. */
struct CommandFailure {
  Error error;
  /** Whether the change may have been written or may still be written. */
  platform::WriteCertainty certainty = platform::WriteCertainty::kUnknown;
};

using CommandResult =
    std::variant<CommandAccepted, CommandConflict, CommandRefusal, CommandFailure>;

/**
 * Commits one command to the platform's table, with a single conditional transaction that writes
 * the head, log, contract, operation and history rows. After a lost response it looks up the
 * operation row, and resends the transaction only while its conditions rule out a second
 * acceptance.
 */
class ContractAcceptance : public std::enable_shared_from_this<ContractAcceptance> {
 public:
  using Callback = std::function<void(CommandResult)>;

  /**
   * Starts a command. `client` must outlive it. The callback runs within about kRetryTimeLimit; an
   * attempt in progress at that time is completed.
   */
  static void Start(net::EventLoop& loop, platform::PlatformClient& client, ContractCommand command,
                    Callback callback);

  /** Time limit for starting retries after a lost response or concurrent changes. */
  static constexpr std::chrono::milliseconds kRetryTimeLimit{4000};

  ContractAcceptance(net::EventLoop& loop, platform::PlatformClient& client,
                     ContractCommand command, Callback callback);

 private:
  using RowResult = Result<std::optional<platform::TableRow>>;
  using RowHandler = void (ContractAcceptance::*)(const std::optional<platform::TableRow>&);

  void ReadRow(const std::string& key, RowHandler handler);
  void ReadOperationRow();
  void OnOperationRow(const std::optional<platform::TableRow>& row);
  void OnContractRow(const std::optional<platform::TableRow>& row);
  /** Parses the contract row; on failure handles the error and returns false. */
  bool UpdateCurrentChange(const std::optional<platform::TableRow>& row);
  /** Returns the reason to refuse the command given the contract row, std::nullopt if none. */
  std::optional<CommandResult> CheckPreconditions(std::uint64_t row_version);
  void OnHeadRow(const std::optional<platform::TableRow>& row);
  void Transact(contract::Revision head_revision, std::uint64_t head_version);
  void OnTransactionResult(const platform::TransactionResult& result,
                           const contract::ContractChange& change);
  void HandleFailure(const Error& error);
  bool IsSameChange(const contract::ContractChange& change) const;
  /** Returns the current contract version; 0 if the customer has no contract. */
  std::uint64_t CurrentVersion() const;
  void Finish(CommandResult result);

  net::EventLoop& m_loop;
  platform::PlatformClient& m_client;
  ContractCommand m_command;
  Callback m_callback;
  TimePoint m_deadline;
  /** Version of the contract row at its first read; all transactions are conditional on it. */
  std::optional<std::uint64_t> m_base_row_version;
  /** The customer's latest change, as of the latest read of the contract row. */
  std::optional<contract::ContractChange> m_current_change;
  /**
   * The result if the operation row is still absent when it is read again. The rows that conflict
   * with the command may have been written by the same operation sent through another VM.
   */
  std::optional<CommandResult> m_result_if_operation_absent;
  /** Whether the outcome of a transaction that was sent is unknown. */
  bool m_outcome_unknown = false;
};

}  // namespace qh::control
