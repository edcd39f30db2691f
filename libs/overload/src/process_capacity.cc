#include "quetzalhinge/overload/process_capacity.h"

#include <sys/resource.h>

#include <algorithm>

namespace qh::overload {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

/** Memory of the program itself with the configuration of a large deployment. */
constexpr double kProgramMb = 16;

/** Memory that clients may use at least. */
constexpr double kMinClientMb = settings::kMinMemoryMb - kProgramMb;

/** Parts of the memory beside the program that messages may use; see MemoryBudgetOptions. */
constexpr double kMessagesShare = 0.67;
constexpr double kLargeResponsesShare = 0.65;
constexpr double kLargeRequestsShare = 0.45;

/** Memory beside the program for one connection of each kind. */
constexpr double kBytesPerCallerConnection = 336.0 * 1024;
constexpr double kBytesPerOtherConnection = 1024.0 * 1024;

constexpr std::size_t kCallerReceiveBuffer = 32 * 1024;
constexpr std::size_t kOtherReceiveBuffer = 8 * 1024;

/** Descriptors that are not for sockets. */
constexpr double kReservedDescriptors = 200;

/** Parts of the sockets; the rest is for connections to workers, the store and other VMs. */
constexpr double kCallersSocketShare = 0.5;
constexpr double kOthersSocketShare = 1.0 / 12;

std::size_t ToCount(double value) { return static_cast<std::size_t>(std::max(1.0, value)); }

/** Returns the lower one of `max_descriptors` and the limit of the operating system. */
double OpenableDescriptors(int max_descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return max_descriptors;
  }
  return std::min<double>(max_descriptors, static_cast<double>(limit.rlim_cur));
}

}  // namespace

ProcessCapacity CapacityOf(const settings::ProcessLimits& limits, std::size_t other_bytes) {
  const double memory =
      std::max((limits.memory_mb - kProgramMb) * kBytesPerMb - static_cast<double>(other_bytes),
               kMinClientMb * kBytesPerMb);
  const double sockets = OpenableDescriptors(limits.max_descriptors) - kReservedDescriptors;
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
