#include "platform_json.h"

#include <utility>

namespace qh::platform {
namespace {

using nlohmann::json;

/** Applies `parse` to the JSON value of `text`; std::nullopt if either step throws. */
template <typename T, typename Parse>
std::optional<T> ParseText(std::string_view text, Parse parse) {
  try {
    return parse(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

TableRow RowFromJson(const json& row) {
  return {row.at("key").get<std::string>(), row.at("version").get<std::uint64_t>(),
          row.at("value")};
}

std::optional<VmRecord> VmFromJson(const json& vm) {
  try {
    const auto role = kVmRoleNames.Parse(vm.at("role").get<std::string>());
    const auto state = kVmStateNames.Parse(vm.at("state").get<std::string>());
    const auto ip = vm.at("ip").get<std::string>();
    if (!role.has_value() || !state.has_value() || !IsIpv4Address(ip)) {
      return std::nullopt;
    }
    VmRecord record;
    record.name = vm.at("name").get<std::string>();
    record.role = *role;
    record.state = *state;
    record.service = vm.value("service", "");
    record.zone = vm.value("zone", "");
    record.calls = {ip, vm.at("port").get<std::uint16_t>()};
    record.gossip = {ip, vm.value("gossip_port", std::uint16_t{0})};
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<TableRow> ParseRow(std::string_view text) {
  return ParseText<TableRow>(text, RowFromJson);
}

std::optional<std::vector<TableRow>> ParseRows(std::string_view text) {
  return ParseText<std::vector<TableRow>>(text, [](const json& body) {
    std::vector<TableRow> rows;
    for (const json& row : body.at("rows")) {
      rows.push_back(RowFromJson(row));
    }
    return rows;
  });
}

std::optional<TransactionConflict> ParseConflict(std::string_view text) {
  return ParseText<TransactionConflict>(text, [](const json& body) {
    return TransactionConflict{body.at("key").get<std::string>(),
                               body.at("version").get<std::uint64_t>()};
  });
}

bool IsApplied(std::string_view text) {
  return ParseText<bool>(text, [](const json& body) { return body.at("applied").get<bool>(); })
      .value_or(false);
}

std::optional<VmList> ParseVmList(std::string_view text) {
  return ParseText<VmList>(text, [&](const json& body) {
    VmList list;
    list.bytes = text.size();
    for (const json& vm : body.at("vms")) {
      std::optional<VmRecord> record = VmFromJson(vm);
      if (record.has_value()) {
        list.vms.push_back(std::move(*record));
      } else {
        ++list.skipped;
      }
    }
    return list;
  });
}

std::string SerializeTransaction(const TableTransaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  }
  json writes = json::array();
  for (const RowWrite& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value}});
  }
  return json{{"conditions", std::move(conditions)}, {"writes", std::move(writes)}}.dump();
}

}  // namespace qh::platform
