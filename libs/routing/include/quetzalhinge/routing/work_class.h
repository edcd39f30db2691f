#pragma once

#include "quetzalhinge/base/enum_table.h"

namespace qh::routing {

/** How long the work of a route takes compared with the rest of its service. */
enum class WorkClass {
  /** Most calls. Never waits for a slot that is held back from long work. */
  kShort,
  /** Runs many times longer than the service's median; limited to a part of a worker's slots. */
  kLong,
  /** Too few samples to tell. Limited like long work, but within a share of its own. */
  kUnknown,
};

/** Number of values of WorkClass. */
inline constexpr int kWorkClasses = 3;

/** Stable names of the work classes. */
inline constexpr EnumTable<WorkClass, kWorkClasses> kWorkClassNames{{{
    {WorkClass::kShort, "short"},
    {WorkClass::kLong, "long"},
    {WorkClass::kUnknown, "unknown"},
}}};

}  // namespace qh::routing
