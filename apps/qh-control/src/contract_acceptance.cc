#include "contract_acceptance.h"

#include <utility>

#include "contract_table_reader.h"
#include "quetzalhinge/net/timer.h"
#include "table_keys.h"

namespace qh::control {
namespace {

using contract::ContractChange;
using platform::TableRow;
using platform::WriteCertainty;

constexpr std::chrono::milliseconds kRetryInterval{100};

/** Runs `task` once after `delay`. */
void RunAfter(net::EventLoop& loop, std::chrono::milliseconds delay, std::function<void()> task) {
  auto timer = std::make_shared<std::unique_ptr<net::Timer>>();
  *timer = std::make_unique<net::Timer>(loop, [timer, task = std::move(task)] {
    // Copy the task and move the timer out first: destroying the timer destroys this lambda and its
    // captures.
    const std::function<void()> run_task = task;
    const std::unique_ptr<net::Timer> expired_timer = std::move(*timer);
    run_task();
  });
  (*timer)->StartOnce(delay);
}

}  // namespace

void ContractAcceptance::Start(net::EventLoop& loop, platform::PlatformClient& client,
                               ContractCommand command, Callback callback) {
  std::make_shared<ContractAcceptance>(loop, client, std::move(command), std::move(callback))
      ->ReadOperationRow();
}

ContractAcceptance::ContractAcceptance(net::EventLoop& loop, platform::PlatformClient& client,
                                       ContractCommand command, Callback callback)
    : m_loop(loop),
      m_client(client),
      m_command(std::move(command)),
      m_callback(std::move(callback)),
      m_deadline(loop.Now() + kRetryTimeLimit) {}

void ContractAcceptance::ReadRow(const std::string& key, RowHandler handler) {
  m_client.ReadRow(key, [self = shared_from_this(), handler](const RowResult& row) {
    if (IsOk(row)) {
      (self.get()->*handler)(ValueOf(row));
    } else {
      self->HandleFailure(ErrorOf(row));
    }
  });
}

void ContractAcceptance::ReadOperationRow() {
  ReadRow(OperationKey(m_command.operation_id), &ContractAcceptance::OnOperationRow);
}

void ContractAcceptance::OnOperationRow(const std::optional<TableRow>& row) {
  if (row.has_value()) {
    const Result<ContractChange> change = ChangeFromRow(*row);
    if (!IsOk(change)) {
      HandleFailure(ErrorOf(change));
    } else if (IsSameChange(ValueOf(change))) {
      Finish(CommandAccepted{ValueOf(change)});
    } else {
      Finish(CommandRefusal::kOperationReused);
    }
    return;
  }
  if (m_result_if_operation_absent.has_value()) {
    Finish(*m_result_if_operation_absent);
    return;
  }
  ReadRow(ContractKey(m_command.customer), &ContractAcceptance::OnContractRow);
}

void ContractAcceptance::OnContractRow(const std::optional<TableRow>& row) {
  if (!UpdateCurrentChange(row)) {
    return;
  }
  m_result_if_operation_absent = CheckPreconditions(row.has_value() ? row->version : 0);
  if (m_result_if_operation_absent.has_value()) {
    ReadOperationRow();
  } else {
    ReadRow(kHeadKey, &ContractAcceptance::OnHeadRow);
  }
}

bool ContractAcceptance::UpdateCurrentChange(const std::optional<TableRow>& row) {
  if (row.has_value()) {
    Result<ContractChange> change = ChangeFromRow(*row);
    if (!IsOk(change)) {
      HandleFailure(ErrorOf(change));
      return false;
    }
    m_current_change = TakeValue(std::move(change));
  }
  return true;
}

std::optional<CommandResult> ContractAcceptance::CheckPreconditions(std::uint64_t row_version) {
  const bool first_read = !m_base_row_version.has_value();
  const CommandConflict conflict{CurrentVersion(),
                                 m_current_change.has_value() ? m_current_change->author : ""};
  if (!first_read) {
    // If the row has changed, no transaction of this command can apply any more, because each one
    // is conditional on the old row version.
    return row_version == *m_base_row_version ? std::nullopt
                                              : std::optional<CommandResult>(conflict);
  }
  m_base_row_version = row_version;
  if (m_command.expect_version.value_or(CurrentVersion()) != CurrentVersion()) {
    return conflict;
  }
  if (m_command.contract == nullptr && CurrentVersion() == 0) {
    return CommandRefusal::kNoContract;
  }
  return std::nullopt;
}

void ContractAcceptance::OnHeadRow(const std::optional<TableRow>& row) {
  const Result<contract::Revision> revision = RevisionFromHeadRow(row);
  if (!IsOk(revision)) {
    HandleFailure(ErrorOf(revision));
    return;
  }
  Transact(ValueOf(revision), row.has_value() ? row->version : 0);
}

void ContractAcceptance::Transact(contract::Revision head_revision, std::uint64_t head_version) {
  ContractChange change;
  change.revision = head_revision + 1;
  change.version = m_current_change.has_value() ? m_current_change->version + 1 : 1;
  change.customer = m_command.customer;
  change.operation_id = m_command.operation_id;
  change.author = m_command.author;
  change.accepted_us = UnixNow();
  change.contract = m_command.contract;

  const nlohmann::json value = contract::ToJson(change);
  const std::string operation_key = OperationKey(change.operation_id);
  platform::TableTransaction transaction;
  transaction.conditions = {{operation_key, 0},
                            {ContractKey(change.customer), *m_base_row_version},
                            {kHeadKey, head_version},
                            {LogKey(change.revision), 0}};
  transaction.writes = {{kHeadKey, {{"revision", change.revision}}},
                        {LogKey(change.revision), value},
                        {ContractKey(change.customer), value},
                        {operation_key, value},
                        {HistoryKey(change.customer, change.version), value}};
  m_client.Transact(transaction, [self = shared_from_this(), change](const auto& result) {
    self->OnTransactionResult(result, change);
  });
}

void ContractAcceptance::OnTransactionResult(const platform::TransactionResult& result,
                                             const ContractChange& change) {
  if (std::holds_alternative<platform::TransactionApplied>(result)) {
    Finish(CommandAccepted{change});
  } else if (const auto* failure = std::get_if<platform::TransactionFailure>(&result)) {
    m_outcome_unknown = m_outcome_unknown || failure->certainty == WriteCertainty::kUnknown;
    HandleFailure(failure->error);
  } else if (m_loop.Now() >= m_deadline) {
    Finish(
        CommandFailure{{ErrorCode::kExhausted, "transaction", "platform",
                        "other operators' changes came first each time"},
                       m_outcome_unknown ? WriteCertainty::kUnknown : WriteCertainty::kNotWritten});
  } else {
    // A concurrent change advanced the head. If it affects this customer, the next reads show it.
    ReadOperationRow();
  }
}

void ContractAcceptance::HandleFailure(const Error& error) {
  if (!m_outcome_unknown) {
    Finish(CommandFailure{error, WriteCertainty::kNotWritten});
  } else if (m_loop.Now() >= m_deadline) {
    Finish(CommandFailure{error, WriteCertainty::kUnknown});
  } else {
    RunAfter(m_loop, kRetryInterval, [self = shared_from_this()] { self->ReadOperationRow(); });
  }
}

bool ContractAcceptance::IsSameChange(const ContractChange& change) const {
  const bool same_contract = change.IsRemoval() || m_command.contract == nullptr
                                 ? change.IsRemoval() && m_command.contract == nullptr
                                 : *change.contract == *m_command.contract;
  return same_contract && change.customer == m_command.customer;
}

std::uint64_t ContractAcceptance::CurrentVersion() const {
  return m_current_change.has_value() && !m_current_change->IsRemoval() ? m_current_change->version
                                                                        : 0;
}

void ContractAcceptance::Finish(CommandResult result) { m_callback(std::move(result)); }

}  // namespace qh::control
