#include "json_fields.h"

#include <algorithm>

namespace qh::contract {
namespace {

const nlohmann::json& Field(const nlohmann::json& json, const char* name, bool has_type,
                            const char* type) {
  if (!has_type) {
    throw JsonFormatError(std::string("\"") + name + "\" has to be " + type);
  }
  return json.at(name);
}

}  // namespace

void RequireFields(const nlohmann::json& json, std::initializer_list<const char*> names) {
  if (!json.is_object()) {
    throw JsonFormatError("not a JSON object");
  }
  for (const char* name : names) {
    if (!json.contains(name)) {
      throw JsonFormatError(std::string("field \"") + name + "\" is missing");
    }
  }
  for (const auto& item : json.items()) {
    if (std::find(names.begin(), names.end(), item.key()) == names.end()) {
      throw JsonFormatError("unknown field \"" + item.key() + "\"");
    }
  }
}

std::int64_t IntegerField(const nlohmann::json& json, const char* name) {
  const nlohmann::json& value = json.at(name);
  const bool is_valid = value.is_number_integer() &&
                        (!value.is_number_unsigned() || value.get<std::uint64_t>() <= INT64_MAX);
  return Field(json, name, is_valid, "a whole number").get<std::int64_t>();
}

std::uint64_t UnsignedField(const nlohmann::json& json, const char* name) {
  const nlohmann::json& value = json.at(name);
  const bool is_valid =
      value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0);
  return Field(json, name, is_valid, "a whole number of at least 0").get<std::uint64_t>();
}

double NumberField(const nlohmann::json& json, const char* name) {
  return Field(json, name, json.at(name).is_number(), "a number").get<double>();
}

std::string StringField(const nlohmann::json& json, const char* name) {
  return Field(json, name, json.at(name).is_string(), "a text").get<std::string>();
}

const nlohmann::json& ArrayField(const nlohmann::json& json, const char* name) {
  return Field(json, name, json.at(name).is_array(), "an array");
}

}  // namespace qh::contract
