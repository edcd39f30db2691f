#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/contract/contract_book.h"
#include "quetzalhinge/messages/contract_messages.h"
#include "quetzalhinge/platform/platform_client.h"

namespace qh::control {

/** Returns the change in a row; kProtocol if it has another form. */
Result<contract::ContractChange> ChangeFromRow(const platform::TableRow& row);

/** Returns the revision in the head row, 0 if it is absent; kProtocol if it has another form. */
Result<contract::Revision> RevisionFromHeadRow(const std::optional<platform::TableRow>& row);

/** Reads contracts from the platform's table. */
class ContractTableReader {
 public:
  using UpdateCallback = std::function<void(Result<messages::ContractUpdate>)>;
  using HistoryCallback = std::function<void(Result<std::vector<contract::ContractChange>>)>;

  /** The client must outlive the reader. */
  explicit ContractTableReader(platform::PlatformClient& client) : m_client(client) {}

  /**
   * Reads what a book at `revision` lacks: the next log rows, at most kLogRowsPerRead of them, or
   * the full state if `newest` is further away than that.
   */
  void ReadSince(contract::Revision revision, contract::Revision newest, UpdateCallback callback);

  /** Reads a customer's changes, oldest first. */
  void ReadHistory(const std::string& customer, HistoryCallback callback);

  static constexpr std::size_t kLogRowsPerRead = 500;

 private:
  class SnapshotRead;

  platform::PlatformClient& m_client;
};

}  // namespace qh::control
