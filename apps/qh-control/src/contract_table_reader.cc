#include "contract_table_reader.h"

#include <algorithm>
#include <map>
#include <utility>

#include "table_keys.h"

namespace qh::control {
namespace {

using contract::ContractChange;
using contract::ContractSnapshot;
using contract::Revision;
using platform::TableRow;

constexpr std::size_t kContractRowsPerRead = 500;
constexpr std::size_t kMaxHistoryRows = 1000;

Result<std::vector<ContractChange>> ChangesFromRows(const Result<std::vector<TableRow>>& rows) {
  if (!IsOk(rows)) {
    return ErrorOf(rows);
  }
  std::vector<ContractChange> changes;
  for (const TableRow& row : ValueOf(rows)) {
    Result<ContractChange> change = ChangeFromRow(row);
    if (!IsOk(change)) {
      return ErrorOf(change);
    }
    changes.push_back(TakeValue(std::move(change)));
  }
  return changes;
}

}  // namespace

Result<ContractChange> ChangeFromRow(const TableRow& row) {
  Result<ContractChange> change = contract::ContractChangeFromJson(row.value);
  if (!IsOk(change)) {
    return Error{ErrorCode::kProtocol, "read contract row", row.key, ErrorOf(change).detail};
  }
  return change;
}

Result<Revision> RevisionFromHeadRow(const std::optional<TableRow>& row) {
  if (!row.has_value()) {
    return Revision{0};
  }
  const auto& value = row->value;
  if (!value.is_object() || !value.contains("revision") ||
      !value.at("revision").is_number_unsigned()) {
    return Error{ErrorCode::kProtocol, "read head", row->key, "no revision in the row"};
  }
  return value.at("revision").get<Revision>();
}

/**
 * Reads a consistent snapshot of all contracts while rows are being changed: first the head, then
 * all contract rows, then the log from that head up to the newest change seen in any row. That part
 * of the log contains every change that the reads of the contract rows missed.
 */
class ContractTableReader::SnapshotRead : public std::enable_shared_from_this<SnapshotRead> {
 public:
  SnapshotRead(platform::PlatformClient& client, UpdateCallback callback)
      : m_client(client), m_callback(std::move(callback)) {}

  void Start() {
    m_client.ReadRow(kHeadKey, [self = shared_from_this()](const auto& row) {
      const Result<Revision> head =
          IsOk(row) ? RevisionFromHeadRow(ValueOf(row)) : Result<Revision>(ErrorOf(row));
      if (!IsOk(head)) {
        self->m_callback(ErrorOf(head));
        return;
      }
      self->m_log_read_to = ValueOf(head);
      self->m_target_revision = ValueOf(head);
      self->ReadContracts("");
    });
  }

 private:
  void ReadContracts(const std::string& after) {
    m_client.ReadRows(kContractPrefix, after, kContractRowsPerRead,
                      [self = shared_from_this()](const auto& rows) {
                        if (!self->MergeChanges(ChangesFromRows(rows))) {
                          return;
                        }
                        if (ValueOf(rows).size() == kContractRowsPerRead) {
                          self->ReadContracts(ValueOf(rows).back().key);
                        } else {
                          self->ReadLog();
                        }
                      });
  }

  void ReadLog() {
    if (m_log_read_to >= m_target_revision) {
      Finish();
      return;
    }
    m_client.ReadRows(
        kLogPrefix, LogKey(m_log_read_to), kLogRowsPerRead,
        [self = shared_from_this()](const auto& rows) {
          if (!self->MergeChanges(ChangesFromRows(rows))) {
            return;
          }
          if (ValueOf(rows).empty()) {
            self->m_callback(Error{ErrorCode::kProtocol, "read log", LogKey(self->m_log_read_to),
                                   "a log row is missing"});
            return;
          }
          self->m_log_read_to += ValueOf(rows).size();
          self->ReadLog();
        });
  }

  /**
   * Merges changes into m_changes, which holds the newest change of each customer. On an error,
   * passes it to the callback and returns false.
   */
  bool MergeChanges(Result<std::vector<ContractChange>> changes) {
    if (!IsOk(changes)) {
      m_callback(ErrorOf(changes));
      return false;
    }
    for (ContractChange& change : TakeValue(std::move(changes))) {
      m_target_revision = std::max(m_target_revision, change.revision);
      const auto existing = m_changes.find(change.customer);
      if (existing == m_changes.end() || existing->second.revision < change.revision) {
        m_changes.insert_or_assign(change.customer, change);
      }
    }
    return true;
  }

  void Finish() {
    ContractSnapshot snapshot;
    snapshot.revision = m_target_revision;
    for (const auto& [customer, change] : m_changes) {
      if (!change.IsRemoval()) {
        snapshot.contracts.push_back(change);
      }
    }
    m_callback(messages::ContractUpdate{std::move(snapshot), m_target_revision});
  }

  platform::PlatformClient& m_client;
  UpdateCallback m_callback;
  /** Revision up to which the log has been read; initially the revision of the head. */
  Revision m_log_read_to = 0;
  /** Newest revision seen in any row; the revision of the snapshot. */
  Revision m_target_revision = 0;
  std::map<std::string, ContractChange> m_changes;
};

void ContractTableReader::ReadSince(Revision revision, Revision newest, UpdateCallback callback) {
  if (newest > revision + kLogRowsPerRead) {
    std::make_shared<SnapshotRead>(m_client, std::move(callback))->Start();
    return;
  }
  m_client.ReadRows(kLogPrefix, LogKey(revision), kLogRowsPerRead,
                    [newest, callback = std::move(callback)](const auto& rows) {
                      Result<std::vector<ContractChange>> changes = ChangesFromRows(rows);
                      if (IsOk(changes)) {
                        callback(messages::ContractUpdate{TakeValue(std::move(changes)), newest});
                      } else {
                        callback(ErrorOf(changes));
                      }
                    });
}

void ContractTableReader::ReadHistory(const std::string& customer, HistoryCallback callback) {
  m_client.ReadRows(
      HistoryPrefix(customer), "", kMaxHistoryRows,
      [callback = std::move(callback)](const auto& rows) { callback(ChangesFromRows(rows)); });
}

}  // namespace qh::control
