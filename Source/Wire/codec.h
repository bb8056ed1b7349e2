#pragma once
/// \file
/// Encodes and decodes records as msgpack.
///
/// Decoding does not throw. Malformed input results in
/// `Errc::kMalformedFrame`.

#include <algorithm>
#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "Base/result.h"
#include "Wire/variant_adaptor.h"

namespace buckthorncart {

/// Limits for decoded messages; larger ones are malformed.
inline constexpr size_t kMaxDecodedElements = 1U << 20U;
inline constexpr size_t kMaxDecodedBytes = 64U << 20U;
inline constexpr size_t kMaxDecodedDepth = 16;

/// Limits for a message of `bytes` bytes. Each element takes a byte, so that a
/// message cannot claim memory for more elements than it can contain.
inline msgpack::unpack_limit DecodeLimits(size_t bytes) {
  const size_t elements = std::min(kMaxDecodedElements, bytes);
  return {elements,         elements,         kMaxDecodedBytes,
          kMaxDecodedBytes, kMaxDecodedBytes, kMaxDecodedDepth};
}

template <typename T>
std::string Encode(const T& record) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, record);
  return {buf.data(), buf.size()};
}

template <typename T>
Result<T> Decode(std::string_view bytes) {
  try {
    size_t offset = 0;
    const auto handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr,
                        DecodeLimits(bytes.size()));
    if (offset != bytes.size()) return Fail(Errc::kMalformedFrame);
    T record;
    handle.get().convert(record);
    return record;
  } catch (const std::exception&) {
    return Fail(Errc::kMalformedFrame);
  }
}

}  // namespace buckthorncart
