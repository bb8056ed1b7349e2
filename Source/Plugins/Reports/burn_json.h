#pragma once
/// \file
/// JSON form of the report on the burn rate of service-level objectives.

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Config/objects.h"
#include "Plugins/Reports/service_objectives.h"

namespace buckthorncart {

/// Encodes the counts of one daemon for exchange between daemons: an object
/// with one array per service, which holds one `[calls, failures, slow]` per
/// window.
std::string EncodeBurnCounts(const std::map<std::string, BurnReport>& report);

/// Adds the counts in `body` to `sum`. Returns false and leaves `sum` unchanged
/// if `body` is malformed.
bool AddBurnCounts(std::string_view body,
                   std::map<std::string, BurnReport>& sum);

/// Returns one row for each window, with the counts and, for both objectives,
/// the burn rate and the remaining error budget. `budget_left` is the unspent
/// share of the error budget of the window in per cent, negative if overspent.
/// Burn rate and `budget_left` are null if the objective is 100 % and was
/// missed.
nlohmann::ordered_json BurnRows(const Service& service,
                                const BurnReport& report);

}  // namespace buckthorncart
