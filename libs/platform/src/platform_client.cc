#include "quetzalhinge/platform/platform_client.h"

#include <utility>

#include "platform_json.h"
#include "quetzalhinge/http/http_client.h"

namespace qh::platform {
namespace {

using http::HttpCallFailure;
using http::HttpCallResult;
using http::HttpRequest;
using http::HttpResponse;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

/** Maximum size of a response; the VM list has about 1 MB at the scale of the design. */
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;

http::HttpClientOptions ClientOptions(const PlatformClientOptions& options) {
  http::HttpClientOptions client_options;
  client_options.connect_timeout = options.request_timeout;
  client_options.max_response_bytes = kMaxResponseBytes;
  return client_options;
}

HttpRequest Get(std::string path) { return {"GET", std::move(path), {}, ""}; }

}  // namespace

struct PlatformClient::Impl {
  PlatformClientOptions options;
  http::HttpClient client;
  PlatformTraffic traffic;

  Impl(net::EventLoop& loop, const PlatformClientOptions& client_options)
      : options(client_options),
        client(loop, client_options.endpoint, ClientOptions(client_options)) {}

  void Start(const HttpRequest& request, const char* step, Callback<HttpCallResult> callback) {
    ++traffic.requests;
    traffic.bytes_sent += request.path.size() + request.body.size();
    client.Start(request, options.request_timeout,
                 [this, step, callback = std::move(callback)](HttpCallResult result) {
                   RecordTraffic(result, step);
                   callback(std::move(result));
                 });
  }

  void RecordTraffic(HttpCallResult& result, const char* step) {
    if (auto* failure = std::get_if<HttpCallFailure>(&result)) {
      ++traffic.failures;
      failure->error.detail = failure->error.step + ": " + failure->error.detail;
      failure->error.step = step;
      client.DiscardIdleConnections();
      return;
    }
    const auto& response = std::get<HttpResponse>(result);
    traffic.bytes_received += response.body.size();
    traffic.failures += response.status == kUnavailable ? 1 : 0;
  }

  Error UnexpectedResponse(const char* step, int status) const {
    const bool is_known_status = status == kOk || status == kConflict;
    return {status == kUnavailable ? ErrorCode::kUnavailable : ErrorCode::kProtocol, step,
            ToString(options.endpoint),
            is_known_status ? "the answer's body has another form"
                            : "status " + std::to_string(status)};
  }

  /** Sends a request. `parse` returns the result, or std::nullopt for an unexpected response. */
  template <typename T, typename Parse>
  void Read(const HttpRequest& request, const char* step, Parse parse,
            Callback<Result<T>> callback) {
    Start(request, step,
          [this, step, parse, callback = std::move(callback)](const HttpCallResult& result) {
            if (const auto* failure = std::get_if<HttpCallFailure>(&result)) {
              callback(failure->error);
              return;
            }
            const auto& response = std::get<HttpResponse>(result);
            std::optional<T> value = parse(response);
            if (value.has_value()) {
              callback(std::move(*value));
            } else {
              callback(UnexpectedResponse(step, response.status));
            }
          });
  }

  TransactionResult TransactionResultOf(const HttpCallResult& result, const char* step) const {
    if (const auto* failure = std::get_if<HttpCallFailure>(&result)) {
      return TransactionFailure{failure->error, failure->stage == http::CallStage::kNotConnected
                                                    ? WriteCertainty::kNotWritten
                                                    : WriteCertainty::kUnknown};
    }
    const auto& response = std::get<HttpResponse>(result);
    if (response.status == kOk && IsApplied(response.body)) {
      return TransactionApplied{};
    }
    const auto conflict = ParseConflict(response.body);
    if (response.status == kConflict && conflict.has_value()) {
      return *conflict;
    }
    return TransactionFailure{UnexpectedResponse(step, response.status), WriteCertainty::kUnknown};
  }
};

PlatformClient::PlatformClient(net::EventLoop& loop, const PlatformClientOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::ReadRow(const std::string& key,
                             Callback<Result<std::optional<TableRow>>> callback) {
  m_impl->Read<std::optional<TableRow>>(
      Get("/v1/table/rows/" + http::PercentEncode(key)), "read row",
      [](const HttpResponse& response) -> std::optional<std::optional<TableRow>> {
        if (response.status == kNotFound) {
          return std::optional<TableRow>();
        }
        std::optional<TableRow> row = ParseRow(response.body);
        if (response.status != kOk || !row.has_value()) {
          return std::nullopt;
        }
        return std::make_optional(std::move(row));
      },
      std::move(callback));
}

void PlatformClient::ReadRows(const std::string& prefix, const std::string& after,
                              std::size_t limit, Callback<Result<std::vector<TableRow>>> callback) {
  m_impl->Read<std::vector<TableRow>>(
      Get("/v1/table/rows?prefix=" + http::PercentEncode(prefix) +
          "&after=" + http::PercentEncode(after) + "&limit=" + std::to_string(limit)),
      "read rows",
      [](const HttpResponse& response) {
        return response.status == kOk ? ParseRows(response.body) : std::nullopt;
      },
      std::move(callback));
}

void PlatformClient::Transact(const TableTransaction& transaction,
                              Callback<TransactionResult> callback) {
  constexpr const char* kStep = "transaction";
  m_impl->Start({"POST", "/v1/table/transactions", {}, SerializeTransaction(transaction)}, kStep,
                [this, callback = std::move(callback)](const HttpCallResult& result) {
                  callback(m_impl->TransactionResultOf(result, kStep));
                });
}

void PlatformClient::ReadVmList(Callback<Result<VmList>> callback) {
  m_impl->Read<VmList>(
      Get("/v1/vms"), "read vm list",
      [](const HttpResponse& response) {
        return response.status == kOk ? ParseVmList(response.body) : std::nullopt;
      },
      std::move(callback));
}

void PlatformClient::PutObject(const std::string& name, const std::string& bytes,
                               Callback<Result<Success>> callback) {
  m_impl->Read<Success>(
      {"PUT", "/v1/objects/" + http::PercentEncode(name), {}, bytes}, "put object",
      [](const HttpResponse& response) {
        return response.status == kOk ? std::optional(Success{}) : std::nullopt;
      },
      std::move(callback));
}

void PlatformClient::GetObject(const std::string& name,
                               Callback<Result<std::optional<std::string>>> callback) {
  m_impl->Read<std::optional<std::string>>(
      Get("/v1/objects/" + http::PercentEncode(name)), "get object",
      [](const HttpResponse& response) -> std::optional<std::optional<std::string>> {
        if (response.status == kNotFound) {
          return std::optional<std::string>();
        }
        if (response.status != kOk) {
          return std::nullopt;
        }
        return std::make_optional(std::optional<std::string>(response.body));
      },
      std::move(callback));
}

const PlatformTraffic& PlatformClient::Traffic() const noexcept { return m_impl->traffic; }

}  // namespace qh::platform
