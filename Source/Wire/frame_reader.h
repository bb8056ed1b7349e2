#pragma once
/// \file
/// Length-prefixed frames on a byte stream.
///
/// A frame is a 4-byte big-endian length followed by that many bytes.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Base/result.h"

namespace buckthorncart {

inline constexpr size_t kFrameHeaderBytes = 4;
inline constexpr size_t kMaxFrameBytes = 4U << 20U;

/// Prepends the frame header to `payload`.
std::string MakeFrame(std::string_view payload);

/// Cuts a stream into frames. After a failure the stream must be closed.
class FrameReader {
 public:
  void Append(std::string_view bytes);
  /// Next whole frame, nothing when more bytes are needed, or
  /// `kFrameTooLarge` when a header announces more than `kMaxFrameBytes`.
  Result<std::optional<std::string>> Next();
  /// Bytes that wait for the rest of their frame.
  size_t Pending() const { return buffer_.size() - offset_; }

 private:
  std::string buffer_;
  size_t offset_ = 0;
};

}  // namespace buckthorncart
