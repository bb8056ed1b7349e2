#pragma once
/// \file
/// A TCP connection.

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Base/address.h"
#include "Net/stream_handler.h"
#include "Net/watched_descriptor.h"
#include "Wire/shared_body.h"

namespace buckthorncart {

class DescriptorWatcher;

/// Writes immediately and buffers what the operating system does not accept.
/// Owned by a `TcpEndpoint`; users may hold a pointer until `OnEnd`, `Close` or
/// `Abort`.
class Stream : public WatchedDescriptor {
 public:
  using ClosedHandler = std::function<void(Stream&)>;

  /// `on_closed` is the last call for this stream and may destroy it.
  Stream(DescriptorWatcher& watcher, int fd, bool open,
         ClosedHandler on_closed);

  void SetHandler(StreamHandler* handler) { handler_ = handler; }
  void Write(std::string_view bytes);
  /// Writes `head` and then `body`. A large body is not copied.
  void Write(std::string_view head, const SharedBody& body);
  /// Returns the number of bytes that the operating system has not accepted
  /// yet.
  size_t BufferedBytes() const {
    return write_buffer_.size() - write_offset_ + body_rest_.size();
  }
  /// Returns the memory for what is to be sent.
  size_t HeldBytes() const {
    return write_buffer_.capacity() + body_rest_.size();
  }
  void SetReading(bool reading);
  /// Sets what the system may receive before it is read.
  void SetReceiveBuffer(size_t bytes);
  /// Closes the connection after all data has been written and the peer has
  /// closed its side or a timeout has expired. The handler is not called any
  /// more.
  void Close();
  /// Closes the connection without writing buffered data. The handler is not
  /// called any more.
  void Abort();
  bool IsOpen() const { return open_; }
  /// Address of the client of an accepted connection; not set for others.
  Address Client() const { return client_; }
  void SetClient(Address client) { client_ = client; }

  bool OnReadable() override;
  bool OnWritable() override;
  void OnClosed() override;

 private:
  /// Writes as much as possible; returns false if the connection is broken.
  bool Flush();
  /// Sends `bytes` as far as the operating system accepts them and returns
  /// their number, or nothing if the connection is broken.
  std::optional<size_t> SendBytes(std::string_view bytes);
  /// Appends the rest of the body to the buffer, so that other bytes can follow
  /// it.
  void BufferBody();
  void FlushOrRemove();
  void ShutDownWrite();

  DescriptorWatcher& watcher_;
  int fd_;
  bool open_;
  Address client_;
  ClosedHandler on_closed_;
  StreamHandler* handler_ = nullptr;
  StreamEnd end_ = StreamEnd::kBroken;
  std::string write_buffer_;
  size_t write_offset_ = 0;
  /// Large body that follows the buffer, and the part of it that is still to be
  /// sent.
  SharedBody body_;
  std::string_view body_rest_;
  bool write_failed_ = false;
  bool reading_ = true;
  bool closing_ = false;
  bool aborted_ = false;
  bool write_shut_down_ = false;
};

}  // namespace buckthorncart
