#pragma once
/// \file
/// Callback interface of a file descriptor that the loop watches.

struct lws;

namespace buckthorncart {

/// All functions are called on the loop's thread.
class WatchedDescriptor {
 public:
  WatchedDescriptor() = default;
  WatchedDescriptor(const WatchedDescriptor&) = delete;
  WatchedDescriptor& operator=(const WatchedDescriptor&) = delete;
  virtual ~WatchedDescriptor() = default;

  /// Called when data, connections or the end of the stream can be read.
  /// Returns false to close the descriptor.
  virtual bool OnReadable() = 0;
  /// Called when the descriptor is writable, once for each
  /// `DescriptorWatcher::RequestWritable`. Returns false to close the
  /// descriptor.
  virtual bool OnWritable() = 0;
  /// Called when the descriptor has been closed. This is the last call.
  virtual void OnClosed() = 0;

 private:
  friend class DescriptorWatcher;
  lws* wsi_ = nullptr;
};

}  // namespace buckthorncart
