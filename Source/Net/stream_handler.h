#pragma once
/// \file
/// Interface of the owner of a TCP connection.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthorncart {

/// How a connection ended.
enum class StreamEnd : uint8_t {
  /// It was never open: nothing that was written has left.
  kNotConnected,
  /// The peer has closed it in order.
  kFinished,
  /// It was reset or timed out.
  kBroken,
};

class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// A connection that was asked for is open.
  virtual void OnOpen() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Some of what was written has been taken by the operating system.
  virtual void OnWritten() {}
  /// The connection is gone; the last call, after which the stream must not
  /// be used.
  virtual void OnEnd(StreamEnd end) = 0;
};

}  // namespace buckthorncart
