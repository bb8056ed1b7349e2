#pragma once
/// \file
/// Reads and writes length-prefixed frames in a byte stream.
///
/// A frame consists of a 4-byte big-endian length and a payload of that many
/// bytes.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Base/result.h"

namespace buckthorncart {

inline constexpr size_t kFrameHeaderBytes = 4;
inline constexpr size_t kMaxFrameBytes = 4U << 20U;

/// Returns a frame with the given payload.
std::string MakeFrame(std::string_view payload);

/// Splits a byte stream into frames. After a failure the stream must be closed.
class FrameReader {
 public:
  /// Adds bytes received from the stream.
  void Append(std::string_view bytes);
  /// Returns the payload of the next complete frame, or nothing if more bytes
  /// are needed. Fails with `kFrameTooLarge` if a header gives a length above
  /// `kMaxFrameBytes`.
  Result<std::optional<std::string>> Next();
  /// Returns the number of bytes that have not been returned as frames.
  size_t Pending() const { return buffer_.size() - offset_; }

 private:
  std::string buffer_;
  size_t offset_ = 0;
};

}  // namespace buckthorncart
