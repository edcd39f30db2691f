#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/dispatch/worker_record.h"
#include "quetzalhinge/routes/service_configuration.h"

namespace qh::gateway {

/** Where the store keeps what the gateway follows. */
struct StoreLayout {
  std::string configuration_table;
  std::string configuration_key;
  std::string workers_table;
};

/** Reads what others have written into the store or into headers. */
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  /** Reads a configuration; an error if it breaks a rule. */
  virtual Result<routes::ServiceConfiguration> DecodeConfiguration(
      const std::string& bytes) const = 0;

  /** Reads the entry of the worker `id`. */
  virtual Result<dispatch::WorkerRecord> DecodeWorker(const std::string& id,
                                                      const std::string& bytes) const = 0;

  /** Reads the load that a worker tells with a response; nothing if it cannot be read. */
  virtual std::optional<dispatch::LoadReport> DecodeLoad(std::string_view value) const = 0;
};

}  // namespace qh::gateway
