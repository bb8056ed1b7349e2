#pragma once
/// \file
/// Statements of the operators' language.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Config/edit.h"

namespace buckthorncart {

/// Kind of objects that a `show` statement lists.
enum class ShowSubject : uint8_t {
  kServices,
  kRoutes,
  kRules,
  kDaemons,
  kWorkspaces
};

template <>
struct EnumNames<ShowSubject> {
  static constexpr std::string_view kNames[] = {"services", "routes", "rules",
                                                "daemons", "workspaces"};
};

/// The statement `show SUBJECT [where KEY=VALUE …] [at NAME]`.
struct ShowStatement {
  ShowSubject subject = ShowSubject::kServices;
  std::vector<Assignment> where;
  /// VM address or data centre whose daemons are queried; empty for the daemon
  /// that receives the statement.
  std::string at;
};

/// Create, change and delete statements that are applied together as one
/// change.
struct ChangeStatement {
  std::vector<Edit> edits;
};

using Statement = std::variant<ChangeStatement, ShowStatement>;

}  // namespace buckthorncart
