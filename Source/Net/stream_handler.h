#pragma once
/// \file
/// Callback interface of a TCP connection.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthorncart {

/// Reason for the end of a connection.
enum class StreamEnd : uint8_t {
  /// The connection was never established: no data has been sent.
  kNotConnected,
  /// The peer closed the connection regularly.
  kFinished,
  /// The connection was reset or timed out.
  kBroken,
};

class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// Called when an outgoing connection has been established.
  virtual void OnOpen() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Called when the operating system has accepted buffered data.
  virtual void OnWritten() {}
  /// Called when the connection has ended. This is the last call, after which
  /// the stream must not be used.
  virtual void OnEnd(StreamEnd end) = 0;
};

}  // namespace buckthorncart
