#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::standin {

/** One entry of the platform's VM list (docs/interfaces.md, Platform). */
struct VmRecord {
  std::string name;
  /** "entry" or "worker". */
  std::string role = "entry";
  /** Service of a worker; empty for an entry VM. */
  std::string service;
  std::string zone;
  std::string ip;
  std::uint16_t port = 0;
  /** This port and the next two are 0 for a worker. */
  std::uint16_t gossip_port = 0;
  std::uint16_t control_rpc_port = 0;
  std::uint16_t entry_rpc_port = 0;
  /** "live" or "leaving". */
  std::string state = "live";
};

/** Returns the record in the platform's JSON form. */
nlohmann::json ToJson(const VmRecord& record);

/**
 * Parses a record in the platform's JSON form. Throws nlohmann::json::exception if the name is
 * missing or a value has the wrong type.
 */
VmRecord VmRecordFromJson(const nlohmann::json& object);

/** Reads all settings sections "[vm <name>]". */
std::vector<VmRecord> ReadVmSections(settings::SettingsReader& reader);

}  // namespace qh::standin
