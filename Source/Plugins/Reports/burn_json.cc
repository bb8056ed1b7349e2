#include "Plugins/Reports/burn_json.h"

#include <cmath>
#include <optional>

namespace buckthorncart {
namespace {

constexpr double kPpm = 1e6;
constexpr double kPerCent = 100.0;
constexpr double kRounding = 1e3;

double Rounded(double value) {
  return std::round(value * kRounding) / kRounding;
}

/// Share of bad calls over the share that the objective allows: 1 spends the
/// whole budget in the whole window. Nothing where no bad call is allowed.
std::optional<double> BurnRate(uint64_t bad, uint64_t calls,
                               uint32_t objective_ppm) {
  if (bad == 0) return 0.0;
  const double allowed = (kPpm - objective_ppm) / kPpm;
  if (allowed <= 0) return std::nullopt;
  return static_cast<double>(bad) / static_cast<double>(calls) / allowed;
}

void AddObjective(nlohmann::ordered_json& row, const std::string& prefix,
                  std::optional<double> burn) {
  row[prefix + "burn_rate"] = nullptr;
  row[prefix + "budget_left"] = nullptr;
  if (!burn) return;
  row[prefix + "burn_rate"] = Rounded(*burn);
  row[prefix + "budget_left"] = Rounded((1.0 - *burn) * kPerCent);
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
  return body.dump();
}

bool AddBurnCounts(std::string_view body,
                   std::map<std::string, BurnReport>& sum) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
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
