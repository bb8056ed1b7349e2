#include "Tool/output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

#include "Base/json_text.h"
#include "Kernel/failure_json.h"

namespace buckthorncart {
namespace {

constexpr size_t kColumnGap = 2;

void PrintRow(const std::vector<std::string>& row,
              const std::vector<size_t>& widths) {
  for (size_t i = 0; i < row.size(); ++i) {
    const bool last = i + 1 == row.size();
    std::cout << std::left
              << std::setw(last ? 0 : static_cast<int>(widths[i] + kColumnGap))
              << row[i];
  }
  std::cout << '\n';
}

}  // namespace

void PrintTable(const std::vector<std::string>& header,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const std::string& cell : header) widths.push_back(cell.size());
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  PrintRow(header, widths);
  for (const auto& row : rows) PrintRow(row, widths);
}

void PrintObjects(const nlohmann::ordered_json& list) {
  std::vector<std::string> header;
  for (const auto& object : list) {
    for (const auto& [key, value] : object.items()) {
      if (std::find(header.begin(), header.end(), key) == header.end()) {
        header.push_back(key);
      }
    }
  }
  std::vector<std::vector<std::string>> rows;
  for (const auto& object : list) {
    std::vector<std::string> row;
    row.reserve(header.size());
    for (const std::string& key : header) {
      row.push_back(object.contains(key) ? CellText(object[key]) : "");
    }
    rows.push_back(std::move(row));
  }
  PrintTable(header, rows);
}

void PrintNames(const char* title, const nlohmann::ordered_json& names) {
  for (const auto& name : names) {
    std::cout << title << ": " << CellText(name) << '\n';
  }
}

std::string CellText(const nlohmann::ordered_json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "-";
  return FormatJson(value);
}

void PrintFailure(const Failure& failure, OutputFormat format) {
  if (format == OutputFormat::kJson) {
    std::cout << FailureJson(failure);
    return;
  }
  std::cerr << "buckthorncart: " << failure.Describe() << '\n';
}

ExitStatus ReportFailure(const Failure& failure, OutputFormat format) {
  PrintFailure(failure, format);
  return failure.code == Errc::kTimeout ? ExitStatus::kUndecided
                                        : ExitStatus::kRefused;
}

Failure FailureFromJson(const nlohmann::ordered_json& body) {
  const auto text = [&body](const char* key) {
    const auto it = body.find(key);
    return it != body.end() && it->is_string() ? it->get<std::string>() : "";
  };
  return {ParseEnum<Errc>(text("error")).value_or(Errc::kMalformedFrame),
          text("subject"), text("expected"), text("advice")};
}

}  // namespace buckthorncart
