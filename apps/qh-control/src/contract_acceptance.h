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

/** A change of one customer's contract that an operator asks for. */
struct ContractCommand {
  std::string customer;
  /** Null to remove the contract. */
  std::shared_ptr<const contract::Contract> contract;
  /** The same when the operator's client sends the command again. */
  std::string operation_id;
  std::string author;
  /** Version that the operator has seen; 0 if there must be no contract. Nothing: any. */
  std::optional<std::uint64_t> expect_version;
};

/** The change is in the table, from this command or from an earlier one with its operation. */
struct CommandAccepted {
  contract::ContractChange change;
};

/** Another change came first; nothing was written. */
struct CommandConflict {
  /** Version in force; 0 if the customer has no contract. */
  std::uint64_t version = 0;
  /** Who wrote it. */
  std::string author;
};

/** Why a command can never be accepted. Nothing was written. */
enum class CommandRefusal {
  /** There is no contract to remove. */
  kNoContract,
  /** The operation identifier belongs to another change. */
  kOperationReused,
};

/** The platform gave no answer. */
struct CommandFailure {
  Error error;
  /** Whether the change may have taken effect, or may still do so. */
  platform::WriteCertainty certainty = platform::WriteCertainty::kUnknown;
};

using CommandResult =
    std::variant<CommandAccepted, CommandConflict, CommandRefusal, CommandFailure>;

/**
 * Has one command accepted: one conditional transaction that writes the head, the log row, the
 * customer's row and the rows of the operation and of the history together. After a lost answer it
 * looks the operation up, and sends the transaction again only while its conditions make a second
 * acceptance impossible.
 */
class ContractAcceptance : public std::enable_shared_from_this<ContractAcceptance> {
 public:
  using Callback = std::function<void(CommandResult)>;

  /** Starts; `client` must outlive the command. Calls back within about kRetryTimeLimit. */
  static void Start(net::EventLoop& loop, platform::PlatformClient& client, ContractCommand command,
                    Callback callback);

  /** How long a lost answer is looked up, beside the limit of one request. */
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
  bool UpdateCurrentChange(const std::optional<platform::TableRow>& row);
  std::optional<CommandResult> CheckPreconditions(std::uint64_t row_version);
  void OnHeadRow(const std::optional<platform::TableRow>& row);
  void Transact(contract::Revision head_revision, std::uint64_t head_version);
  void OnTransactionResult(const platform::TransactionResult& result,
                           const contract::ContractChange& change);
  void HandleFailure(const Error& error);
  bool IsSameChange(const contract::ContractChange& change) const;
  std::uint64_t CurrentVersion() const;
  void Finish(CommandResult result);

  net::EventLoop& m_loop;
  platform::PlatformClient& m_client;
  ContractCommand m_command;
  Callback m_callback;
  TimePoint m_deadline;
  /** Version of the customer's row at the first read; the change is based on it. */
  std::optional<std::uint64_t> m_base_row_version;
  /** The customer's last change, with that row. */
  std::optional<contract::ContractChange> m_current_change;
  /**
   * What to report if the operation is still absent when it is read again: the rows that speak
   * against the change may have been written by this very operation, sent through another VM.
   */
  std::optional<CommandResult> m_result_if_operation_absent;
  /** A transaction was sent whose outcome is not known. */
  bool m_outcome_unknown = false;
};

}  // namespace qh::control
