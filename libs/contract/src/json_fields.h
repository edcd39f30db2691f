#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace qh::contract {

/** Thrown if a JSON value is malformed. Caught by the functions that return a Result. */
class JsonFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Throws JsonFormatError unless `json` is an object with exactly the fields `names`. */
void RequireFields(const nlohmann::json& json, std::initializer_list<const char*> names);

/** Returns an integer field; throws JsonFormatError if it is not an integer within int64 range. */
std::int64_t IntegerField(const nlohmann::json& json, const char* name);

/** Returns a non-negative integer field; throws JsonFormatError if it has another type or sign. */
std::uint64_t UnsignedField(const nlohmann::json& json, const char* name);

/** Returns a numeric field; throws JsonFormatError if it has another type. */
double NumberField(const nlohmann::json& json, const char* name);

/** Returns a string field; throws JsonFormatError if it has another type. */
std::string StringField(const nlohmann::json& json, const char* name);

/** Returns an array field; throws JsonFormatError if it has another type. */
const nlohmann::json& ArrayField(const nlohmann::json& json, const char* name);

}  // namespace qh::contract
