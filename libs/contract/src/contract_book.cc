#include "quetzalhinge/contract/contract_book.h"

#include <algorithm>
#include <utility>

namespace qh::contract {
namespace {

bool IsWellFormed(const ContractChange& change) {
  return change.revision > 0 && IsContractName(change.customer) &&
         (change.IsRemoval() ||
          (change.contract->customer == change.customer && change.contract->Violations().empty()));
}

}  // namespace

ContractBook::ContractBook(ContractBookOptions options) : m_options(options) {}

ApplyOutcome ContractBook::Apply(ContractChange change) {
  if (!IsWellFormed(change)) {
    return ApplyOutcome::kConflict;
  }
  ObserveRevision(change.revision);
  if (change.revision <= m_revision) {
    return IsKnownOperation(change) ? ApplyOutcome::kAlreadyKnown : ApplyOutcome::kConflict;
  }
  if (change.revision != m_revision + 1) {
    return ApplyOutcome::kGap;
  }
  m_revision = change.revision;
  if (change.IsRemoval()) {
    m_contracts.erase(change.customer);
  } else {
    m_contracts.insert_or_assign(change.customer, change);
  }
  m_log.push_back(std::move(change));
  if (m_log.size() > m_options.log_capacity) {
    m_log.pop_front();
  }
  return ApplyOutcome::kApplied;
}

bool ContractBook::ApplySnapshot(ContractSnapshot snapshot) {
  if (snapshot.revision <= m_revision) {
    return false;
  }
  std::map<std::string, ContractChange, std::less<>> contracts;
  for (ContractChange& change : snapshot.contracts) {
    if (!IsWellFormed(change) || change.IsRemoval() || change.revision > snapshot.revision) {
      return false;
    }
    const std::string customer = change.customer;
    if (!contracts.emplace(customer, std::move(change)).second) {
      return false;
    }
  }
  m_contracts = std::move(contracts);
  m_log.clear();
  m_revision = snapshot.revision;
  ObserveRevision(m_revision);
  return true;
}

ChangesAnswer ContractBook::ChangesSince(Revision revision, std::size_t max_changes) const {
  if (revision >= m_revision) {
    return std::vector<ContractChange>{};
  }
  const Revision missing = m_revision - revision;
  if (missing > m_log.size()) {
    return Snapshot();
  }
  const auto first = m_log.end() - static_cast<std::ptrdiff_t>(missing);
  const auto count = std::min<std::size_t>(missing, std::max<std::size_t>(1, max_changes));
  return std::vector<ContractChange>(first, first + static_cast<std::ptrdiff_t>(count));
}

ContractSnapshot ContractBook::Snapshot() const {
  ContractSnapshot snapshot;
  snapshot.revision = m_revision;
  for (const auto& [customer, change] : m_contracts) {
    snapshot.contracts.push_back(change);
  }
  return snapshot;
}

std::shared_ptr<const Contract> ContractBook::Find(std::string_view customer) const {
  const ContractChange* change = FindChange(customer);
  return change == nullptr ? nullptr : change->contract;
}

const ContractChange* ContractBook::FindChange(std::string_view customer) const {
  const auto found = m_contracts.find(customer);
  return found == m_contracts.end() ? nullptr : &found->second;
}

std::optional<Revision> ContractBook::RevisionOfOperation(std::string_view operation_id) const {
  for (const ContractChange& change : m_log) {
    if (change.operation_id == operation_id) {
      return change.revision;
    }
  }
  for (const auto& [customer, change] : m_contracts) {
    if (change.operation_id == operation_id) {
      return change.revision;
    }
  }
  return std::nullopt;
}

std::vector<std::string> ContractBook::Customers() const {
  std::vector<std::string> customers;
  for (const auto& [customer, change] : m_contracts) {
    customers.push_back(customer);
  }
  return customers;
}

void ContractBook::ObserveRevision(Revision revision) noexcept {
  m_newest_known_revision = std::max(m_newest_known_revision, revision);
}

void ContractBook::Confirm(Revision newest_revision, TimePoint observed_at) noexcept {
  ObserveRevision(newest_revision);
  if (newest_revision == m_revision && !IsBehind()) {
    m_confirmed_at = std::max(m_confirmed_at.value_or(observed_at), observed_at);
  }
}

bool ContractBook::IsConfirmed(TimePoint now) const noexcept {
  return m_confirmed_at.has_value() && now - *m_confirmed_at <= m_options.confirmation_limit;
}

bool ContractBook::IsKnownOperation(const ContractChange& change) const {
  const Revision age = m_revision - change.revision;
  if (age >= m_log.size()) {
    return true;  // The change precedes the log, so its operation cannot be compared.
  }
  const ContractChange& known = m_log[m_log.size() - 1 - age];
  return known.operation_id == change.operation_id && known.customer == change.customer;
}

}  // namespace qh::contract
