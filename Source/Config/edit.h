#pragma once
/// \file
/// Edits of a configuration, as operators write them.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/enum_names.h"
#include "Base/result.h"

namespace buckthorncart {

struct Configuration;

enum class ObjectKind : uint8_t { kService, kRoute, kRule };

template <>
struct EnumNames<ObjectKind> {
  static constexpr std::string_view kNames[] = {"service", "route", "rule"};
};

enum class EditAction : uint8_t { kCreate, kChange, kDelete };

template <>
struct EnumNames<EditAction> {
  static constexpr std::string_view kNames[] = {"create", "change", "delete"};
};

/// One `key=value` of a command.
struct Assignment {
  std::string key;
  std::string value;
  bool operator==(const Assignment&) const = default;
  MSGPACK_DEFINE(key, value)
};

/// One create, change or delete command.
struct Edit {
  EditAction action = EditAction::kCreate;
  ObjectKind kind = ObjectKind::kService;
  std::string name;
  std::vector<Assignment> assignments;

  bool operator==(const Edit&) const = default;
  /// "route proofs".
  std::string ObjectName() const;
  MSGPACK_DEFINE(action, kind, name, assignments)
};

/// Applies `edits` in order and validates the whole result. The input is not
/// changed; on the first fault nothing of the edits is kept. Fails with
/// `kUnknownObject`, `kDuplicateObject`, `kServiceInUse`, `kInvalidValue` or
/// any failure of `Configuration::Validate`.
Result<Configuration> ApplyEdits(const Configuration& base,
                                 const std::vector<Edit>& edits);

/// Applies `edits` without validating references of the result. Deterministic,
/// so that every daemon derives the same bytes from the same delta.
Result<Configuration> ApplyEditsUnchecked(const Configuration& base,
                                          const std::vector<Edit>& edits);

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::ObjectKind)
MSGPACK_ADD_ENUM(buckthorncart::EditAction)
