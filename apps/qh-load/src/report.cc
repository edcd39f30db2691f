#include "report.h"

#include <algorithm>
#include <cstdio>

namespace qh::load {
namespace {

using nlohmann::json;

/**
 * Latencies in microseconds. All values are stored, because histogram buckets would be wider than
 * the difference between calls through entry VMs and direct calls.
 */
using Latencies = std::vector<std::int64_t>;

/** Returns the `quantile` (0 to 1) of the sorted values; 0 if there are none. */
std::int64_t QuantileOf(const Latencies& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

json QuantilesJson(Latencies& latencies) {
  std::sort(latencies.begin(), latencies.end());
  return {{"count", latencies.size()},
          {"p50_us", QuantileOf(latencies, 0.5)},
          {"p99_us", QuantileOf(latencies, 0.99)},
          {"p999_us", QuantileOf(latencies, 0.999)},
          {"max_us", latencies.empty() ? 0 : latencies.back()}};
}

json ClassJson(const MixEntry& mix, std::size_t index, const CallLedger& ledger) {
  Latencies entry;
  Latencies direct;
  json outcomes{{"ran", 0}, {"not-run", 0}, {"unknown", 0}};
  std::uint64_t calls = 0;
  for (const CallRecord& record : ledger.Records()) {
    if (record.mix != index) {
      continue;
    }
    if (!record.direct) {
      ++calls;
      auto& count = outcomes[kCallOutcomeNames.NameOf(record.outcome)];
      count = count.get<std::uint64_t>() + 1;
    }
    if (record.outcome == CallOutcome::kRan) {
      (record.direct ? direct : entry).push_back(record.latency.count());
    }
  }
  json result{{"class", mix.name},
              {"calls", calls},
              {"outcomes", outcomes},
              {"entry", QuantilesJson(entry)},
              {"direct", QuantilesJson(direct)}};
  if (!entry.empty() && !direct.empty()) {
    result["added_p50_us"] = QuantileOf(entry, 0.5) - QuantileOf(direct, 0.5);
    result["added_p99_us"] = QuantileOf(entry, 0.99) - QuantileOf(direct, 0.99);
  }
  return result;
}

json CodesJson(const CallLedger& ledger) {
  json codes = json::object();
  for (const CallRecord& record : ledger.Records()) {
    const std::string name = std::string(record.direct ? "direct " : "entry ") +
                             kCallOutcomeNames.NameOf(record.outcome) + " " + record.code;
    codes[name] = codes.value(name, std::uint64_t{0}) + 1;
  }
  return codes;
}

json ViolationsJson(const Violations& violations) {
  return {{"count", violations.count}, {"examples", violations.examples}};
}

std::string Milliseconds(const json& object, const char* key) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", object.value(key, 0.0) / 1000);
  return text;
}

void AppendRow(std::string& text, const std::vector<std::string>& cells) {
  char cell[64];
  for (std::size_t i = 0; i < cells.size(); ++i) {
    std::snprintf(cell, sizeof(cell), i == 0 ? "%-20s" : " %10s", cells[i].c_str());
    text += cell;
  }
  text += '\n';
}

std::string ClassTable(const json& report) {
  std::string text = "Calls through entry VMs, latency in ms from the intended start\n";
  AppendRow(text, {"class", "calls", "ran", "not-run", "unknown", "p50", "p99", "p99.9",
                   "direct p50", "direct p99", "added p50", "added p99"});
  for (const json& row : report["classes"]) {
    const bool has_direct_calls = row.contains("added_p50_us");
    AppendRow(text, {row["class"], row["calls"].dump(), row["outcomes"]["ran"].dump(),
                     row["outcomes"]["not-run"].dump(), row["outcomes"]["unknown"].dump(),
                     Milliseconds(row["entry"], "p50_us"), Milliseconds(row["entry"], "p99_us"),
                     Milliseconds(row["entry"], "p999_us"), Milliseconds(row["direct"], "p50_us"),
                     Milliseconds(row["direct"], "p99_us"),
                     has_direct_calls ? Milliseconds(row, "added_p50_us") : "-",
                     has_direct_calls ? Milliseconds(row, "added_p99_us") : "-"});
  }
  return text;
}

std::string AccountTable(const json& account) {
  std::string text = "\nAccount of all calls against the workers' execution counts\n";
  for (const auto& [name, value] : account.items()) {
    const bool is_violation = value.is_object();
    AppendRow(text, {name, is_violation ? value["count"].dump() : value.dump()});
    if (is_violation) {
      for (const json& example : value["examples"]) {
        text += "    " + example.get<std::string>() + "\n";
      }
    }
  }
  return text;
}

}  // namespace

json MakeJsonReport(const Scenario& scenario, const CallLedger& ledger, const LoadResult& result) {
  json classes = json::array();
  for (std::size_t i = 0; i < scenario.mix.size(); ++i) {
    classes.push_back(ClassJson(scenario.mix[i], i, ledger));
  }
  const LedgerSummary& summary = result.summary;
  return {{"seed", scenario.seed},
          {"clean", summary.IsClean() && result.has_executions},
          {"classes", classes},
          {"codes", CodesJson(ledger)},
          {"address_questions", result.address_requests},
          {"max_start_delay_us", result.max_start_delay.count()},
          {"account",
           {{"started", summary.started},
            {"ended", summary.ended},
            {"keyed run once", summary.keyed_run_once},
            {"keyed unknown, ran", summary.keyed_unknown_run},
            {"keyed unknown, not", summary.keyed_unknown_not_run},
            {"ran twice", ViolationsJson(summary.run_more_than_once)},
            {"not-run but ran", ViolationsJson(summary.not_run_but_executed)},
            {"ran but not counted", ViolationsJson(summary.ran_but_not_executed)},
            {"wrong answers", ViolationsJson(summary.invalid_responses)}}}};
}

std::string MakeTextReport(const json& report) {
  std::string text = ClassTable(report);
  text += "\nOutcomes and codes\n";
  for (const auto& [name, count] : report["codes"].items()) {
    text += "  " + name + ": " + count.dump() + "\n";
  }
  text += AccountTable(report["account"]);
  text += "\nseed " + report["seed"].dump() + ", " + report["address_questions"].dump() +
          " requests for addresses, calls started at most " +
          Milliseconds(report, "max_start_delay_us") + " ms late\n";
  return text + (report["clean"].get<bool>() ? "RESULT: clean\n" : "RESULT: NOT clean\n");
}

}  // namespace qh::load
