#pragma once
/// \file
/// Configured objects as JSON, as `show` lists them.

#include <nlohmann/json.hpp>

#include "Config/configuration.h"
#include "Config/statement.h"

namespace buckthorncart {

nlohmann::ordered_json ToJson(const Service& service);
nlohmann::ordered_json ToJson(const Route& route);
nlohmann::ordered_json ToJson(const Rule& rule);

/// Objects of the kind that `show` names and that match its conditions.
nlohmann::ordered_json ListObjects(const Configuration& configuration,
                                   const ShowStatement& show);

}  // namespace buckthorncart
