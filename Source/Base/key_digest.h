#pragma once
/// \file
/// Digests of API keys (SHA-256), by which keys are stored and compared.

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorncart {

inline constexpr size_t kKeyDigestBytes = 32;

/// SHA-256 digest of an API key. A key cannot be derived from its digest, and
/// no two keys with the same digest are known.
using KeyDigest = std::array<uint8_t, kKeyDigestBytes>;

KeyDigest DigestOfKey(std::string_view key);

/// Returns the digest as 64 hexadecimal digits in lower case.
std::string FormatKeyDigest(const KeyDigest& digest);

/// Parses 64 hexadecimal digits in lower case.
std::optional<KeyDigest> ParseKeyDigest(std::string_view text);

/// Hash function for tables of digests, whose bytes are already uniform.
struct KeyDigestHash {
  size_t operator()(const KeyDigest& digest) const {
    size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
  }
};

}  // namespace buckthorncart
