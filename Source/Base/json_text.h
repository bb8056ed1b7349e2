#pragma once
/// \file
/// Reads and writes JSON texts that contain data from other parties.
///
/// Neither direction throws or needs memory out of proportion to the text.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace buckthorncart {

/// Largest JSON text that is parsed.
struct JsonLimits {
  size_t bytes = 16U << 20U;
  /// Objects and arrays that contain one another.
  size_t depth = 32;
  /// Values, including those in objects and arrays.
  size_t values = 1U << 20U;
};

/// Returns true if `text` is within `limits`. Does not check its syntax.
bool IsWithinLimits(std::string_view text, const JsonLimits& limits);

/// Parses `text`. Returns a discarded value if it is not JSON, contains a
/// number out of range, or exceeds `limits`.
template <typename Json = nlohmann::json>
Json ParseJson(std::string_view text, const JsonLimits& limits = {}) {
  if (!IsWithinLimits(text, limits)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

/// Returns `json` as text on one line. Bytes that are not UTF-8 are replaced by
/// U+FFFD, since a JSON text cannot contain them.
template <typename Json>
std::string FormatJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace buckthorncart
