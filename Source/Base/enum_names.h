#pragma once
/// \file
/// Tables of names for `enum class` types.
///
/// A type opts in by specialising `EnumNames` with a `kNames` array that is
/// indexed by the enumerators, which must be contiguous from zero.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorncart {

template <typename E>
struct EnumNames;

/// Number of enumerators of `E`.
template <typename E>
constexpr size_t EnumSize() {
  return std::size(EnumNames<E>::kNames);
}

/// Name of `value`, or "invalid" when it lies outside the table.
template <typename E>
constexpr std::string_view NameOf(E value) {
  const auto n = static_cast<size_t>(value);
  return n < EnumSize<E>() ? EnumNames<E>::kNames[n] : "invalid";
}

/// Enumerator that carries `name`, or nothing.
template <typename E>
constexpr std::optional<E> ParseEnum(std::string_view name) {
  for (size_t i = 0; i < EnumSize<E>(); ++i) {
    if (EnumNames<E>::kNames[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

/// All names of `E`, separated by " | ", for messages about what is expected.
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
