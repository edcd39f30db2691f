#include "quetzalhinge/overload/process_capacity.h"

#include <sys/resource.h>

#include <algorithm>

namespace qh::overload {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

/** Memory of the program itself with the configuration of a large deployment. */
constexpr double kProgramMb = 16;

/** Parts of the memory beside the program that messages may use; see MemoryBudgetOptions. */
constexpr double kMessagesShare = 0.68;
constexpr double kLargeResponsesShare = 0.655;
constexpr double kLargeRequestsShare = 0.45;

/** Memory beside the program for one connection of each kind. */
constexpr double kBytesPerCallerConnection = 320.0 * 1024;
constexpr double kBytesPerOtherConnection = 1024.0 * 1024;

constexpr std::size_t kCallerReceiveBuffer = 32 * 1024;
constexpr std::size_t kOtherReceiveBuffer = 8 * 1024;

/** Descriptors that are not for sockets. */
constexpr double kReservedDescriptors = 200;

/** Parts of the sockets; the rest is for connections to workers, the store and other VMs. */
constexpr double kCallersSocketShare = 0.5;
constexpr double kOthersSocketShare = 1.0 / 12;

std::size_t ToCount(double value) { return static_cast<std::size_t>(std::max(1.0, value)); }

double OpenableDescriptors() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY
             ? static_cast<double>(limit.rlim_cur)
             : static_cast<double>(limits::kMaxDescriptors);
}

}  // namespace

ProcessCapacity CapacityOf(const limits::ProcessLimits& limits) {
  const double memory = (limits.memory_mb - kProgramMb) * kBytesPerMb;
  const double sockets =
      std::min<double>(limits.max_descriptors, OpenableDescriptors()) - kReservedDescriptors;
  ProcessCapacity capacity;
  capacity.messages = {ToCount(kMessagesShare * memory), ToCount(kLargeResponsesShare * memory),
                       ToCount(kLargeRequestsShare * memory)};
  capacity.callers = {
      ToCount(std::min(kCallersSocketShare * sockets, memory / kBytesPerCallerConnection)),
      kCallerReceiveBuffer};
  capacity.others = {
      ToCount(std::min(kOthersSocketShare * sockets, memory / kBytesPerOtherConnection)),
      kOtherReceiveBuffer};
  return capacity;
}

}  // namespace qh::overload
