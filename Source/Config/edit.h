#pragma once
/// \file
/// Edits of a configuration in the operators' language.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/enum_names.h"
#include "Base/result.h"
#include "Wire/enum_adaptor.h"

namespace buckthorncart {

struct Configuration;

enum class ObjectKind : uint8_t { kService, kRoute, kRule, kWorkspace };

template <>
struct EnumNames<ObjectKind> {
  static constexpr std::string_view kNames[] = {"service", "route", "rule",
                                                "workspace"};
};
template <>
struct WireEnum<ObjectKind> : NamedWireEnum<ObjectKind> {};

enum class EditAction : uint8_t { kCreate, kChange, kDelete };

template <>
struct EnumNames<EditAction> {
  static constexpr std::string_view kNames[] = {"create", "change", "delete"};
};
template <>
struct WireEnum<EditAction> : NamedWireEnum<EditAction> {};

/// A `key=value` pair of a statement.
struct Assignment {
  std::string key;
  std::string value;
  bool operator==(const Assignment&) const = default;
  MSGPACK_DEFINE(key, value)
};

/// A create, change or delete statement.
struct Edit {
  EditAction action = EditAction::kCreate;
  ObjectKind kind = ObjectKind::kService;
  std::string name;
  std::vector<Assignment> assignments;

  bool operator==(const Edit&) const = default;
  /// Returns the kind and name of the object, for example "route proofs".
  std::string ObjectName() const;
  MSGPACK_DEFINE(action, kind, name, assignments)
};

/// Applies `edits` in order and validates the complete result. `base` is not
/// changed. Returns the first failure and no result if an edit or the result is
/// invalid. Fails with
/// `kUnknownObject`, `kDuplicateObject`, `kServiceInUse`, `kInvalidValue` or
/// any failure of `Configuration::Validate`.
Result<Configuration> ApplyEdits(const Configuration& base,
                                 const std::vector<Edit>& edits);

/// Applies `edits` in order without validating the result. Deterministic, so
/// all daemons derive the same encoding from the same change.
Result<Configuration> ApplyEditsUnchecked(const Configuration& base,
                                          const std::vector<Edit>& edits);

}  // namespace buckthorncart
