#pragma once
/// \file
/// Random damage to messages, for tests of everything that reads them.

#include <array>
#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace buckthorncart {

/// Pieces that readers tend to mishandle: bytes that are not UTF-8, deep
/// nesting, numbers and ports out of range, line ends.
inline std::string OddPiece(pcg32& random) {
  static const std::array<std::string, 16> pieces = {
      std::string("\xff\xfe\xfa"),
      std::string("\0", 1),
      std::string("%FF%FE"),
      std::string(200, '['),
      std::string(200, '\x91'),
      std::string("{\"a\":"),
      std::string("18446744073709551616"),
      std::string("18446744073709551615"),
      std::string("-1"),
      std::string("1e999"),
      std::string("10.0.0.1:70000"),
      std::string("\r\n\r\n"),
      std::string("\xdd\xff\xff\xff\xff"),
      std::string("\xcf\xff\xff\xff\xff\xff\xff\xff\xff"),
      std::string("null"),
      std::string("\xed\xa0\x80")};
  return pieces[random(pieces.size())];
}

/// Returns `text` with one or two other bytes, most of which are small or large
/// numbers in a binary encoding, so that its structure is often kept.
inline std::string ReplaceBytes(std::string text, pcg32& random) {
  constexpr std::array<uint8_t, 6> kNumbers = {0x00, 0x01, 0x02,
                                               0x7f, 0x80, 0xff};
  const uint32_t changes = 1 + random(2);
  for (uint32_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = random(static_cast<uint32_t>(text.size()));
    const bool any = random(2) == 0;
    const uint32_t byte = any ? random(256) : kNumbers[random(kNumbers.size())];
    text[at] = static_cast<char>(byte);
  }
  return text;
}

/// Returns `text` with one to four random changes.
inline std::string Mutate(std::string text, pcg32& random) {
  enum class Change : uint8_t { kFlip, kInsert, kCut, kErase, kRepeat, kCount };
  const uint32_t changes = 1 + random(4);
  for (uint32_t i = 0; i < changes; ++i) {
    const auto size = static_cast<uint32_t>(text.size());
    const size_t at = size == 0 ? 0 : random(size);
    const size_t length = 1 + random(16);
    switch (
        static_cast<Change>(random(static_cast<uint32_t>(Change::kCount)))) {
      case Change::kFlip:
        if (size > 0) text[at] = static_cast<char>(random(256));
        break;
      case Change::kInsert:
        text.insert(at, OddPiece(random));
        break;
      case Change::kCut:
        text.resize(at);
        break;
      case Change::kErase:
        text.erase(at, length);
        break;
      default:
        text.insert(at, text.substr(at, length));
        break;
    }
  }
  return text;
}

}  // namespace buckthorncart
