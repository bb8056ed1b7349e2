#pragma once
/// \file
/// Tables of names for `enum class` types.
///
/// To use these functions with an enum, specialise `EnumNames` for it with a
/// `kNames` array. The enumerators index the array, so they must be contiguous
/// from zero.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorncart {

template <typename E>
struct EnumNames;

/// Returns the number of enumerators of `E`.
template <typename E>
constexpr size_t EnumSize() {
  return std::size(EnumNames<E>::kNames);
}

/// Returns the name of `value`, or "invalid" if it is outside the table.
template <typename E>
constexpr std::string_view NameOf(E value) {
  const auto n = static_cast<size_t>(value);
  return n < EnumSize<E>() ? EnumNames<E>::kNames[n] : "invalid";
}

/// Returns the enumerator called `name`, or nothing if there is none.
template <typename E>
constexpr std::optional<E> ParseEnum(std::string_view name) {
  for (size_t i = 0; i < EnumSize<E>(); ++i) {
    if (EnumNames<E>::kNames[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

/// Returns all names of `E`, separated by " | ", for messages that list the
/// expected values.
template <typename E>
std::string NamesOf() {
  std::string joined;
  for (std::string_view name : EnumNames<E>::kNames) {
    if (!joined.empty()) joined += " | ";
    joined += name;
  }
  return joined;
}

}  // namespace buckthorncart
