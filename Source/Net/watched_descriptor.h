#pragma once
/// \file
/// Interface of a file descriptor that the loop watches.

struct lws;

namespace buckthorncart {

/// All calls come from the loop's thread.
class WatchedDescriptor {
 public:
  WatchedDescriptor() = default;
  WatchedDescriptor(const WatchedDescriptor&) = delete;
  WatchedDescriptor& operator=(const WatchedDescriptor&) = delete;
  virtual ~WatchedDescriptor() = default;

  /// Bytes, connections or an end of stream can be read. Returns false to
  /// close the descriptor.
  virtual bool OnReadable() = 0;
  /// Follows `DescriptorWatcher::RequestWritable`. Returns false to close the
  /// descriptor.
  virtual bool OnWritable() = 0;
  /// The descriptor has been closed; the last call.
  virtual void OnClosed() = 0;

 private:
  friend class DescriptorWatcher;
  lws* wsi_ = nullptr;
};

}  // namespace buckthorncart
