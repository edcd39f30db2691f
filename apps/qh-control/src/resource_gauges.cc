#include "resource_gauges.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace qh::control {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

}  // namespace

void UpdateResourceGauges(metrics::MetricsRegistry& metrics) {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    metrics.GaugeOf("qh_process_cpu_seconds", "mode=\"user\"").Set(ToSeconds(usage.ru_utime));
    metrics.GaugeOf("qh_process_cpu_seconds", "mode=\"system\"").Set(ToSeconds(usage.ru_stime));
  }
  // getrusage() reports only the peak; the current resident pages are the second field of statm.
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    metrics.GaugeOf("qh_process_resident_bytes")
        .Set(resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)));
  }
}

}  // namespace qh::control
