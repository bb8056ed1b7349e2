#pragma once
/// \file
/// One TCP connection.

#include <cstddef>
#include <functional>
#include <string>

#include "Net/stream_handler.h"
#include "Net/watched_descriptor.h"

namespace buckthorncart {

class DescriptorWatcher;

/// Writes at once and keeps what the operating system does not take. Its owner
/// is a `TcpHost`; users hold a pointer until `OnEnd`, `Close` or `Abort`.
class Stream : public WatchedDescriptor {
 public:
  using GoneHandler = std::function<void(Stream&)>;

  /// `on_gone` is called last and may destroy the stream.
  Stream(DescriptorWatcher& watcher, int fd, bool open, GoneHandler on_gone);

  void SetHandler(StreamHandler* handler) { handler_ = handler; }
  void Write(std::string_view bytes);
  /// Bytes written that the operating system has not taken yet.
  size_t BufferedBytes() const { return out_.size() - out_offset_; }
  void SetReading(bool reading);
  /// Closes when all is written and the peer has read it or gone. The handler
  /// hears no more.
  void Close();
  /// Closes at once. The handler hears no more.
  void Abort();
  bool IsOpen() const { return open_; }

  bool OnReadable() override;
  bool OnWritable() override;
  void OnClosed() override;

 private:
  /// Writes what it can; false when the connection is broken.
  bool Flush();
  void FinishWriting();

  DescriptorWatcher& watcher_;
  int fd_;
  bool open_;
  GoneHandler on_gone_;
  StreamHandler* handler_ = nullptr;
  StreamEnd end_ = StreamEnd::kBroken;
  std::string out_;
  size_t out_offset_ = 0;
  bool broken_ = false;
  bool closing_ = false;
  bool finished_writing_ = false;
};

}  // namespace buckthorncart
