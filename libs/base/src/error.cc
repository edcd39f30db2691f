#include "quetzalhinge/base/error.h"

#include "quetzalhinge/base/enum_table.h"

namespace qh {
namespace {

constexpr EnumTable<ErrorCode, 8> kErrorCodeNames{{{
    {ErrorCode::kInvalidArgument, "invalid_argument"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kProtocol, "protocol"},
    {ErrorCode::kUnauthenticated, "unauthenticated"},
    {ErrorCode::kExhausted, "exhausted"},
}}};

}  // namespace

const char* ToString(ErrorCode code) noexcept { return kErrorCodeNames.NameOf(code); }

std::string ToString(const Error& error) {
  std::string text = error.step;
  if (!error.peer.empty()) {
    text += " " + error.peer;
  }
  text += std::string(": ") + ToString(error.code);
  if (!error.detail.empty()) {
    text += ": " + error.detail;
  }
  return text;
}

}  // namespace qh
