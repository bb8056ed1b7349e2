#include "Base/key_digest.h"

#include <openssl/sha.h>

namespace buckthorncart {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0xF;

}  // namespace

KeyDigest DigestOfKey(std::string_view key) {
  static_assert(kKeyDigestBytes == SHA256_DIGEST_LENGTH);
  KeyDigest digest{};
  // The digest takes bytes, which the text is read as.
  const void* bytes = key.data();
  SHA256(static_cast<const uint8_t*>(bytes), key.size(), digest.data());
  return digest;
}

std::string FormatKeyDigest(const KeyDigest& digest) {
  std::string text;
  text.reserve(2 * digest.size());
  for (const uint8_t byte : digest) {
    text += kHexDigits[byte >> kBitsPerDigit];
    text += kHexDigits[byte & kDigitMask];
  }
  return text;
}

std::optional<KeyDigest> ParseKeyDigest(std::string_view text) {
  KeyDigest digest{};
  if (text.size() != 2 * digest.size()) return std::nullopt;
  for (size_t i = 0; i < digest.size(); ++i) {
    const size_t high = kHexDigits.find(text[2 * i]);
    const size_t low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    digest[i] = static_cast<uint8_t>((high << kBitsPerDigit) | low);
  }
  return digest;
}

}  // namespace buckthorncart
