#include "quetzalhinge/standin/standin_platform.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <unordered_map>
#include <utility>

#include "platform_table.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/standin/delayed_tasks.h"
#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {
namespace {

using http::HttpExchange;
using http::HttpRequest;
using http::HttpResponse;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr std::string_view kRowsPath = "/v1/table/rows";
constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::size_t kDefaultListLimit = 1000;
constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;

struct PlatformFaults {
  bool down = false;
  bool silent = false;
  std::int64_t delay_ms = 0;
  /** Number of applied writes still to leave unanswered; -1 for all. */
  std::int64_t lose_answers = 0;
  bool frozen_vm_list = false;
};

struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t list_reads = 0;
};

/** A version of the VM list and the time at which it took effect. */
struct VmListVersion {
  TimePoint since;
  std::vector<VmRecord> vms;
};

/** Percent-decodes a key. Keys have the same encoding in paths as in query values. */
std::string DecodeKey(std::string_view encoded) {
  return http::QueryParameter("?key=" + std::string(encoded), "key").value_or("");
}

std::size_t ListLimit(const std::string& path) {
  const std::string text = http::QueryParameter(path, "limit").value_or("");
  std::size_t limit = kDefaultListLimit;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return limit;
}

}  // namespace

struct StandinPlatform::Impl {
  net::EventLoop& loop;
  std::chrono::milliseconds list_lag;
  http::HttpServer server;
  DelayedTasks delayed;
  PlatformTable table;
  std::unordered_map<std::string, std::string> objects;
  /** Oldest first; never empty. */
  std::deque<VmListVersion> list_versions;
  PlatformFaults faults;
  TimePoint list_frozen_at{};
  PlatformCounts counts;
  /** Requests that are never answered. */
  std::vector<ExchangePtr> unanswered;

  Impl(net::EventLoop& event_loop, const StandinPlatformOptions& options)
      : loop(event_loop),
        list_lag(options.list_lag),
        server(event_loop, {options.listen, kMaxBodyBytes, std::chrono::seconds(10)},
               [this](ExchangePtr exchange) { OnRequest(std::move(exchange)); }),
        delayed(event_loop) {
    list_versions.push_back({TimePoint::min(), options.vms});
  }

  void OnRequest(ExchangePtr exchange) {
    if (exchange->Request().path.starts_with("/standin/")) {
      exchange->Respond(HandleControl(exchange->Request()));
    } else if (faults.silent) {
      unanswered.push_back(std::move(exchange));
    } else if (faults.down) {
      exchange->Respond(JsonResponse(503, {{"message", "the platform is down"}}));
    } else if (faults.delay_ms > 0) {
      delayed.Start(std::chrono::milliseconds(faults.delay_ms),
                    [this, exchange = std::move(exchange)] { RespondTo(*exchange); });
    } else {
      RespondTo(*exchange);
    }
  }

  void RespondTo(HttpExchange& exchange) {
    bool write_applied = false;
    HttpResponse response = HandleRequest(exchange.Request(), write_applied);
    if (write_applied && faults.lose_answers != 0) {
      faults.lose_answers -= faults.lose_answers > 0 ? 1 : 0;
      exchange.Abort("");
      return;
    }
    exchange.Respond(std::move(response));
  }

  HttpResponse HandleRequest(const HttpRequest& request, bool& write_applied) {
    const std::string_view path = http::PathOnly(request.path);
    if (request.method == "POST" && path == "/v1/table/transactions") {
      return WithJsonObject(request.body,
                            [&](const json& body) { return Transact(body, write_applied); });
    }
    if (request.method == "PUT" && path.starts_with(kObjectsPath)) {
      ++counts.writes;
      write_applied = true;
      objects[DecodeKey(path.substr(kObjectsPath.size()))] = request.body;
      return JsonResponse(200, json::object());
    }
    return request.method == "GET" ? Read(request, path)
                                   : JsonResponse(405, {{"message", "method not allowed"}});
  }

  HttpResponse Transact(const json& body, bool& write_applied) {
    ++counts.writes;
    std::vector<TableCondition> conditions;
    for (const json& condition : body.value("conditions", json::array())) {
      conditions.push_back(
          {condition.at("key").get<std::string>(), condition.at("version").get<std::uint64_t>()});
    }
    std::vector<TableWrite> writes;
    for (const json& write : body.value("writes", json::array())) {
      writes.push_back({write.at("key").get<std::string>(), write.at("value")});
    }
    const auto failed = table.Apply(conditions, writes);
    if (failed.has_value()) {
      return JsonResponse(409,
                          {{"applied", false}, {"key", failed->key}, {"version", failed->version}});
    }
    write_applied = true;
    return JsonResponse(200, {{"applied", true}});
  }

  HttpResponse Read(const HttpRequest& request, std::string_view path) {
    if (path == "/v1/vms") {
      ++counts.list_reads;
      return JsonResponse(200, {{"vms", VisibleVmList()}});
    }
    ++counts.reads;
    if (path == kRowsPath) {
      return JsonResponse(
          200, {{"rows", table.List(http::QueryParameter(request.path, "prefix").value_or(""),
                                    http::QueryParameter(request.path, "after").value_or(""),
                                    ListLimit(request.path))}});
    }
    if (path.starts_with(kRowsPath)) {
      return ReadRow(DecodeKey(path.substr(kRowsPath.size() + 1)));
    }
    const auto object = path.starts_with(kObjectsPath)
                            ? objects.find(DecodeKey(path.substr(kObjectsPath.size())))
                            : objects.end();
    return object == objects.end() ? JsonResponse(404, {{"message", "no such object"}})
                                   : HttpResponse{200, {}, object->second, false};
  }

  HttpResponse ReadRow(const std::string& key) const {
    const TableRow* row = table.Find(key);
    return row == nullptr
               ? JsonResponse(404, {{"message", "no such row"}})
               : JsonResponse(200,
                              {{"key", key}, {"version", row->version}, {"value", row->value}});
  }

  json VisibleVmList() const {
    const TimePoint visible_at = (faults.frozen_vm_list ? list_frozen_at : loop.Now()) - list_lag;
    const VmListVersion* visible = &list_versions.front();
    for (const VmListVersion& version : list_versions) {
      if (version.since <= visible_at) {
        visible = &version;
      }
    }
    json vms = json::array();
    for (const VmRecord& vm : visible->vms) {
      vms.push_back(ToJson(vm));
    }
    return vms;
  }

  HttpResponse HandleControl(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/standin/counts") {
      return JsonResponse(
          200,
          {{"reads", counts.reads}, {"writes", counts.writes}, {"list_reads", counts.list_reads}});
    }
    if (request.method == "POST" && request.path == "/standin/faults") {
      return WithJsonObject(request.body, [&](const json& body) { return ApplyFaults(body); });
    }
    if (request.method == "POST" && request.path == "/standin/vms") {
      return WithJsonObject(request.body, [&](const json& body) { return ChangeVmList(body); });
    }
    return JsonResponse(404, {{"message", "no such control path"}});
  }

  HttpResponse ApplyFaults(const json& body) {
    const bool was_frozen = faults.frozen_vm_list;
    ReadMember(body, "down", faults.down);
    ReadMember(body, "silent", faults.silent);
    ReadMember(body, "delay_ms", faults.delay_ms);
    ReadMember(body, "lose_answers", faults.lose_answers);
    ReadMember(body, "frozen_vm_list", faults.frozen_vm_list);
    if (faults.frozen_vm_list && !was_frozen) {
      list_frozen_at = loop.Now();
    }
    logging::LogChange("platform", "switch faults", {{"faults", body.dump()}});
    return JsonResponse(200, json::object());
  }

  HttpResponse ChangeVmList(const json& body) {
    std::vector<VmRecord> vms = list_versions.back().vms;
    for (const json& name : body.value("remove", json::array())) {
      std::erase_if(vms, [&](const VmRecord& vm) { return vm.name == name.get<std::string>(); });
    }
    for (const json& vm : body.value("add", json::array())) {
      vms.push_back(VmRecordFromJson(vm));
    }
    const json states = body.value("state", json::object());
    for (VmRecord& vm : vms) {
      ReadMember(states, vm.name.c_str(), vm.state);
    }
    list_versions.push_back({loop.Now(), std::move(vms)});
    logging::LogChange("platform", "change VM list", {{"change", body.dump()}});
    return JsonResponse(200, json::object());
  }
};

StandinPlatform::StandinPlatform(net::EventLoop& loop, const StandinPlatformOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {}

StandinPlatform::~StandinPlatform() = default;

Result<Success> StandinPlatform::Start() { return m_impl->server.Start(); }

IpEndpoint StandinPlatform::LocalEndpoint() const { return m_impl->server.LocalEndpoint(); }

}  // namespace qh::standin
