#include "table_keys.h"

namespace qh::control {
namespace {

/** Numbers in keys are zero-padded to 12 digits, so that keys sort in numeric order. */
constexpr std::size_t kNumberDigits = 12;

std::string ZeroPadded(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return digits.size() < kNumberDigits ? std::string(kNumberDigits - digits.size(), '0') + digits
                                       : digits;
}

}  // namespace

std::string LogKey(contract::Revision revision) { return kLogPrefix + ZeroPadded(revision); }

std::string ContractKey(const std::string& customer) { return kContractPrefix + customer; }

std::string OperationKey(const std::string& operation_id) { return "operations/" + operation_id; }

std::string HistoryPrefix(const std::string& customer) { return "history/" + customer + "/"; }

std::string HistoryKey(const std::string& customer, std::uint64_t version) {
  return HistoryPrefix(customer) + ZeroPadded(version);
}

}  // namespace qh::control
