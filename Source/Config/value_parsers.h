#pragma once
/// \file
/// Parsers of the values that assignments carry.

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthorncart {

/// "250ms", "3s" or "2m" as milliseconds; nothing when malformed or when it
/// does not fit.
std::optional<uint32_t> ParseMilliseconds(std::string_view text);

/// "99.95" (per cent, up to four decimals) as millionths.
std::optional<uint32_t> ParseShare(std::string_view text);

/// A whole number from 0 to 1000000.
std::optional<uint32_t> ParseCount(std::string_view text);

/// Names of objects, data centres and labels: letters, digits, `-`, `_`, `.`;
/// 1 to 64 characters.
bool IsName(std::string_view text);

}  // namespace buckthorncart
