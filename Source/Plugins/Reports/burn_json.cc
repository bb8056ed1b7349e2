#include "Plugins/Reports/burn_json.h"

#include <cmath>
#include <optional>

#include "Base/json_text.h"

namespace buckthorncart {
namespace {

constexpr double kPpm = 1e6;
constexpr double kPerCent = 100.0;
constexpr double kThousandths = 1e3;

double RoundToThousandths(double value) {
  return std::round(value * kThousandths) / kThousandths;
}

/// Share of bad calls divided by the share that the objective allows. A rate of
/// 1 spends exactly the error budget over the window. Returns no value if the
/// objective allows no bad calls and there were some.
std::optional<double> BurnRate(uint64_t bad, uint64_t calls,
                               uint32_t objective_ppm) {
  if (bad == 0) return 0.0;
  const double allowed_share = (kPpm - objective_ppm) / kPpm;
  if (allowed_share <= 0) return std::nullopt;
  return static_cast<double>(bad) / static_cast<double>(calls) / allowed_share;
}

void AddObjective(nlohmann::ordered_json& row, const std::string& prefix,
                  std::optional<double> burn_rate) {
  row[prefix + "burn_rate"] = nullptr;
  row[prefix + "budget_left"] = nullptr;
  if (!burn_rate) return;
  row[prefix + "burn_rate"] = RoundToThousandths(*burn_rate);
  row[prefix + "budget_left"] =
      RoundToThousandths((1.0 - *burn_rate) * kPerCent);
}

}  // namespace

std::string EncodeBurnCounts(const std::map<std::string, BurnReport>& report) {
  nlohmann::json body = nlohmann::json::object();
  for (const auto& [service, windows] : report) {
    nlohmann::json& rows = body[service];
    for (const BurnCounts& counts : windows) {
      rows.push_back({counts.calls, counts.failures, counts.slow});
    }
  }
  return FormatJson(body);
}

bool AddBurnCounts(std::string_view body,
                   std::map<std::string, BurnReport>& sum) {
  const auto json = ParseJson(body);
  if (!json.is_object()) return false;
  std::map<std::string, BurnReport> parsed;
  for (const auto& [service, rows] : json.items()) {
    if (!rows.is_array() || rows.size() != EnumSize<BurnSpan>()) return false;
    for (size_t i = 0; i < rows.size(); ++i) {
      const auto& row = rows[i];
      if (!row.is_array() || row.size() != 3) return false;
      for (const auto& count : row) {
        if (!count.is_number_unsigned()) return false;
      }
      parsed[service][i] = {row[0], row[1], row[2]};
    }
  }
  for (const auto& [service, report] : parsed) {
    for (size_t i = 0; i < report.size(); ++i) sum[service][i].Add(report[i]);
  }
  return true;
}

nlohmann::ordered_json BurnRows(const Service& service,
                                const BurnReport& report) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (size_t i = 0; i < report.size(); ++i) {
    const BurnCounts& counts = report[i];
    nlohmann::ordered_json row = {{"service", service.name},
                                  {"window", EnumNames<BurnSpan>::kNames[i]},
                                  {"calls", counts.calls},
                                  {"failures", counts.failures}};
    AddObjective(
        row, "",
        BurnRate(counts.failures, counts.calls, service.availability_ppm));
    row["slow"] = counts.slow;
    AddObjective(row, "latency_",
                 BurnRate(counts.slow, counts.calls, service.latency_ppm));
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace buckthorncart
