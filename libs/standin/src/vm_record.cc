#include "quetzalhinge/standin/vm_record.h"

#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {
namespace {

enum class VmRole { kEntry, kWorker };
constexpr EnumTable<VmRole, 2> kRoleNames{
    {{{VmRole::kEntry, "entry"}, {VmRole::kWorker, "worker"}}}};

constexpr int kMaxPort = 65535;

std::uint16_t ReadPort(settings::SettingsReader& reader, const std::string& section,
                       const char* key, std::optional<std::int64_t> fallback) {
  return static_cast<std::uint16_t>(reader.Integer(section, key, 0, kMaxPort, fallback));
}

}  // namespace

nlohmann::json ToJson(const VmRecord& record) {
  return {{"name", record.name},
          {"role", record.role},
          {"service", record.service},
          {"zone", record.zone},
          {"ip", record.ip},
          {"port", record.port},
          {"gossip_port", record.gossip_port},
          {"control_rpc_port", record.control_rpc_port},
          {"entry_rpc_port", record.entry_rpc_port},
          {"state", record.state}};
}

VmRecord VmRecordFromJson(const nlohmann::json& object) {
  VmRecord record;
  record.name = object.at("name").get<std::string>();
  ReadMember(object, "role", record.role);
  ReadMember(object, "service", record.service);
  ReadMember(object, "zone", record.zone);
  ReadMember(object, "ip", record.ip);
  ReadMember(object, "port", record.port);
  ReadMember(object, "gossip_port", record.gossip_port);
  ReadMember(object, "control_rpc_port", record.control_rpc_port);
  ReadMember(object, "entry_rpc_port", record.entry_rpc_port);
  ReadMember(object, "state", record.state);
  return record;
}

std::vector<VmRecord> ReadVmSections(settings::SettingsReader& reader) {
  std::vector<VmRecord> records;
  for (const std::string& name : reader.SectionsWithPrefix("vm ")) {
    const std::string section = "vm " + name;
    VmRecord record;
    record.name = name;
    record.role = kRoleNames.NameOf(
        reader.Choice(section, "role", kRoleNames, std::optional<VmRole>(VmRole::kEntry)));
    record.service = reader.Text(section, "service", "");
    record.zone = reader.Text(section, "zone");
    record.ip = reader.Text(section, "ip");
    if (reader.Has(section, "ip") && !IsIpv4Address(record.ip)) {
      reader.AddProblem(section, "ip", "an IP number");
    }
    record.port = ReadPort(reader, section, "port", std::nullopt);
    record.gossip_port = ReadPort(reader, section, "gossip_port", 0);
    record.control_rpc_port = ReadPort(reader, section, "control_rpc_port", 0);
    record.entry_rpc_port = ReadPort(reader, section, "entry_rpc_port", 0);
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace qh::standin
