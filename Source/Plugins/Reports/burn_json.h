#pragma once
/// \file
/// The report on service-level burn as JSON.

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Config/objects.h"
#include "Plugins/Reports/service_objectives.h"

namespace buckthorncart {

/// Counts of one daemon, as daemons exchange them: an object of arrays, one
/// `[calls, failures, slow]` for each window.
std::string EncodeBurnCounts(const std::map<std::string, BurnReport>& report);

/// Adds the counts in `body` to `sum`; false when it is malformed.
bool AddBurnCounts(std::string_view body,
                   std::map<std::string, BurnReport>& sum);

/// One row for each window: counts, budget left and burn rate of both
/// objectives. `budget_left` is the share of the window's budget that is not
/// spent, per cent, negative when overspent; both are null where the
/// objective is 100 % and was missed.
nlohmann::ordered_json BurnRows(const Service& service,
                                const BurnReport& report);

}  // namespace buckthorncart
