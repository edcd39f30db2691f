#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::standin {

/** One line of the platform's VM list (docs/interfaces.md, Platform). */
struct VmRecord {
  std::string name;
  /** "entry" or "worker". */
  std::string role = "entry";
  /** Service of a worker; empty for an entry VM. */
  std::string service;
  std::string zone;
  std::string ip;
  std::uint16_t port = 0;
  /** The next three are 0 for a worker. */
  std::uint16_t gossip_port = 0;
  std::uint16_t control_rpc_port = 0;
  std::uint16_t entry_rpc_port = 0;
  /** "live" or "leaving". */
  std::string state = "live";
};

/** Returns the record as the platform's JSON. */
nlohmann::json ToJson(const VmRecord& record);

/** Reads a record from the platform's JSON; throws nlohmann::json::exception on a wrong type. */
VmRecord VmRecordFromJson(const nlohmann::json& object);

/** Reads all sections "[vm <name>]". */
std::vector<VmRecord> ReadVmSections(settings::SettingsReader& reader);

}  // namespace qh::standin
