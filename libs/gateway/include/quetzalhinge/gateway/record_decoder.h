#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/dispatch/worker_record.h"
#include "quetzalhinge/routes/service_configuration.h"

namespace qh::gateway {

/** Tables and keys of the records that the gateway reads from the store. */
struct StoreLayout {
  std::string configuration_table;
  std::string configuration_key;
  std::string workers_table;
};

/** Decodes records of the store and headers of workers. */
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  /** Decodes a configuration. Returns an error if it is malformed or invalid. */
  virtual Result<routes::ServiceConfiguration> DecodeConfiguration(
      const std::string& bytes) const = 0;

  /** Decodes the record of the worker `id`. Returns an error if it is malformed. */
  virtual Result<dispatch::WorkerRecord> DecodeWorker(const std::string& id,
                                                      const std::string& bytes) const = 0;

  /** Decodes the load header of a worker's response; std::nullopt if it is malformed. */
  virtual std::optional<dispatch::LoadReport> DecodeLoad(std::string_view value) const = 0;

  /**
   * Decodes the limit header of a worker's response, in requests a second; std::nullopt if it is
   * malformed.
   */
  virtual std::optional<double> DecodeLimit(std::string_view value) const = 0;
};

}  // namespace qh::gateway
