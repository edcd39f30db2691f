#pragma once

#include "quetzalhinge/base/enum_table.h"

namespace qh::routing {

/** Duration of a route's calls relative to the other calls of its service. */
enum class WorkClass {
  /** Most calls. May use all slots of a worker. */
  kShort,
  /** Takes many times the service's median; limited to a share of a worker's slots. */
  kLong,
  /** Too few samples for a classification. Limited separately from long work. */
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
