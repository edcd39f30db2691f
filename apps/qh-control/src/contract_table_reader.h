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

/** Parses a contract change from a row; kProtocol if the row is malformed. */
Result<contract::ContractChange> ChangeFromRow(const platform::TableRow& row);

/** Returns the revision in the head row, 0 if the row is absent; kProtocol if it is malformed. */
Result<contract::Revision> RevisionFromHeadRow(const std::optional<platform::TableRow>& row);

/** Reads contracts from the platform's table. */
class ContractTableReader {
 public:
  using UpdateCallback = std::function<void(Result<messages::ContractUpdate>)>;
  using HistoryCallback = std::function<void(Result<std::vector<contract::ContractChange>>)>;

  /** The client must outlive the reader. */
  explicit ContractTableReader(platform::PlatformClient& client) : m_client(client) {}

  /**
   * Reads the changes after `revision`: at most kLogRowsPerRead log rows, or a full snapshot if
   * `newest` is further ahead than that.
   */
  void ReadSince(contract::Revision revision, contract::Revision newest, UpdateCallback callback);

  /** Reads the oldest 1000 changes of a customer, oldest first. */
  void ReadHistory(const std::string& customer, HistoryCallback callback);

  static constexpr std::size_t kLogRowsPerRead = 500;

 private:
  class SnapshotRead;

  platform::PlatformClient& m_client;
};

}  // namespace qh::control
