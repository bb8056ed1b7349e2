#pragma once
/// \file
/// Forwards readiness events of file descriptors to their owners.

#include <libwebsockets.h>

#include <set>
#include <string>

#include "Base/result.h"
#include "Net/loop.h"
#include "Net/watched_descriptor.h"

namespace buckthorncart {

/// Uses libwebsockets for polling only, so that owners receive every byte, can
/// distinguish how a connection ended, and control their socket options.
class DescriptorWatcher {
 public:
  explicit DescriptorWatcher(Loop& loop);
  DescriptorWatcher(const DescriptorWatcher&) = delete;
  DescriptorWatcher& operator=(const DescriptorWatcher&) = delete;

  /// Must succeed before `Add` is called. `name` must be unique in the loop.
  Result<void> Open(const std::string& name);

  /// Watches `fd` and transfers its ownership to the loop. Returns false when
  /// the loop's descriptor table is full; `fd` is closed then and `owner` is
  /// not notified.
  bool Add(int fd, WatchedDescriptor& owner);
  void RequestWritable(WatchedDescriptor& owner);
  /// Enables or disables read events.
  void SetReading(WatchedDescriptor& owner, bool reading);
  /// Closes the descriptor asynchronously; `OnClosed` is called afterwards.
  void Remove(WatchedDescriptor& owner);
  /// Does the same after `seconds`, unless the descriptor is closed earlier.
  void RemoveAfter(WatchedDescriptor& owner, int seconds);

 private:
  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t len);
  void RepeatWriteRequests();

  Loop& loop_;
  lws_protocols protocols_[2];
  lws_vhost* vhost_ = nullptr;
  /// Owner whose `OnWritable` is running.
  WatchedDescriptor* writing_owner_ = nullptr;
  /// Owners that requested another write event inside `OnWritable`.
  std::set<WatchedDescriptor*> deferred_write_requests_;
};

}  // namespace buckthorncart
