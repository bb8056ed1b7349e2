#pragma once
/// \file
/// What commands print.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Base/error.h"
#include "Tool/command.h"

namespace buckthorncart {

/// Prints rows of text under a header, columns aligned.
void PrintTable(const std::vector<std::string>& header,
                const std::vector<std::vector<std::string>>& rows);

/// Prints an array of flat JSON objects as a table of all of their keys.
void PrintObjects(const nlohmann::ordered_json& list);

/// Prints `failure` to standard error, as JSON when that is the format.
void PrintFailure(const Failure& failure, OutputFormat format);

/// Prints `failure` and gives the exit status for it: undecided where a daemon
/// was reached and did not answer, refused otherwise.
ExitStatus ReportFailure(const Failure& failure, OutputFormat format);

/// The failure in an answer of the operators' interface.
Failure FailureFromJson(const nlohmann::ordered_json& body);

/// Prints one `title: name` line for each name.
void PrintNames(const char* title, const nlohmann::ordered_json& names);

/// Text of a JSON value, without quotes around strings.
std::string CellText(const nlohmann::ordered_json& value);

}  // namespace buckthorncart
