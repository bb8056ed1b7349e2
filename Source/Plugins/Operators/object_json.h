#pragma once
/// \file
/// JSON rows for configured objects and daemons, as listed by `show`.

#include <nlohmann/json.hpp>
#include <vector>

#include "Base/result.h"
#include "Config/configuration.h"
#include "Config/statement.h"
#include "Wire/member.h"

namespace buckthorncart {

nlohmann::ordered_json ToJson(const Service& service);
nlohmann::ordered_json ToJson(const Route& route);
nlohmann::ordered_json ToJson(const Rule& rule);
nlohmann::ordered_json ToJson(const Workspace& workspace);
nlohmann::ordered_json ToJson(const Member& member);

/// Fails with `kInvalidValue` if a condition of `show` uses a key that its
/// subject does not have.
Result<void> CheckConditions(const ShowStatement& show);

/// Objects of the subject of `show` that match its conditions.
nlohmann::ordered_json ListObjects(const Configuration& configuration,
                                   const ShowStatement& show);

/// Members that match the conditions of `show`.
nlohmann::ordered_json ListMembers(const std::vector<Member>& members,
                                   const ShowStatement& show);

}  // namespace buckthorncart
