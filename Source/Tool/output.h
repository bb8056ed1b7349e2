#pragma once
/// \file
/// Output of commands as tables, JSON and error messages.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Base/error.h"
#include "Tool/command.h"

namespace buckthorncart {

/// Prints a header and rows of text with aligned columns.
void PrintTable(const std::vector<std::string>& header,
                const std::vector<std::vector<std::string>>& rows);

/// Prints an array of flat JSON objects as a table with a column for each key.
void PrintObjects(const nlohmann::ordered_json& list);

/// Prints `failure` to standard error as text, or to standard output as JSON.
void PrintFailure(const Failure& failure, OutputFormat format);

/// Prints `failure` and returns its exit status: `kUndecided` when a daemon was
/// reached but did not answer, `kRefused` otherwise.
ExitStatus ReportFailure(const Failure& failure, OutputFormat format);

/// Reads the failure from an error answer of the operators' interface.
Failure FailureFromJson(const nlohmann::ordered_json& body);

/// Prints one `title: name` line for each name.
void PrintNames(const char* title, const nlohmann::ordered_json& names);

/// Text of a JSON value: strings without quotes, null as "-".
std::string CellText(const nlohmann::ordered_json& value);

}  // namespace buckthorncart
