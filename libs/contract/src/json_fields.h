#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace qh::contract {

/** A JSON value has not the required form. Caught by the functions that return a Result. */
class JsonFormError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Throws JsonFormError unless `json` is an object with exactly the fields `names`. */
void RequireFields(const nlohmann::json& json, std::initializer_list<const char*> names);

/** Returns a whole number; throws JsonFormError for fractions, booleans and texts. */
std::int64_t WholeField(const nlohmann::json& json, const char* name);

/** Returns a whole number of at least 0; throws JsonFormError otherwise. */
std::uint64_t UnsignedField(const nlohmann::json& json, const char* name);

/** Returns a number; throws JsonFormError otherwise. */
double NumberField(const nlohmann::json& json, const char* name);

/** Returns a text; throws JsonFormError otherwise. */
std::string TextField(const nlohmann::json& json, const char* name);

/** Returns an array; throws JsonFormError otherwise. */
const nlohmann::json& ArrayField(const nlohmann::json& json, const char* name);

}  // namespace qh::contract
