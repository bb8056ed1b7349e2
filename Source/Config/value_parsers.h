#pragma once
/// \file
/// Parsers for the values of assignments.

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

#include "Base/key_digest.h"

namespace buckthorncart {

/// Parses a duration such as "250ms", "3s" or "2m" and returns milliseconds.
/// Returns nothing if `text` is malformed or the result exceeds 32 bits.
std::optional<uint32_t> ParseMilliseconds(std::string_view text);

/// Parses a percentage such as "99.95", with up to four decimals and at most
/// 100, and returns parts per million.
std::optional<uint32_t> ParseShare(std::string_view text);

/// Parses a whole number from 0 to 1000000.
std::optional<uint32_t> ParseCount(std::string_view text);

/// Parses a rate such as "2.5" requests a second, with up to three decimals and
/// at most 1000000, and returns requests in 1,000 s.
std::optional<uint64_t> ParseRate(std::string_view text);

/// Parses digests of API keys, separated by commas.
std::optional<std::set<KeyDigest>> ParseKeyDigests(std::string_view text);

/// Returns true if `text` is a valid name of an object, data centre or label: 1
/// to 64 letters, digits, `-`, `_` or `.`.
bool IsName(std::string_view text);

}  // namespace buckthorncart
