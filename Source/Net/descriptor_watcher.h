#pragma once
/// \file
/// Hands events of file descriptors from the loop to their owners.

#include <libwebsockets.h>

#include <set>
#include <string>

#include "Base/result.h"
#include "Net/loop.h"
#include "Net/watched_descriptor.h"

namespace buckthorncart {

/// Uses the library for polling only, so that its owners see every byte, the
/// way in which a connection ends, and the options of their sockets.
class DescriptorWatcher {
 public:
  explicit DescriptorWatcher(Loop& loop);
  DescriptorWatcher(const DescriptorWatcher&) = delete;
  DescriptorWatcher& operator=(const DescriptorWatcher&) = delete;

  /// Must succeed before `Add`. `name` is unique in the loop.
  Result<void> Open(const std::string& name);

  /// Watches `fd`, which belongs to the loop from now on. False when the
  /// loop's table of descriptors is full; `fd` is closed then and `owner`
  /// hears nothing.
  bool Add(int fd, WatchedDescriptor& owner);
  void RequestWritable(WatchedDescriptor& owner);
  /// Stops or goes on telling that there is something to read.
  void SetReading(WatchedDescriptor& owner, bool reading);
  /// Closes the descriptor soon; `OnClosed` follows.
  void Remove(WatchedDescriptor& owner);
  /// The same after `seconds`, unless it has been closed by then.
  void RemoveIn(WatchedDescriptor& owner, int seconds);

 private:
  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t len);
  void RequestAgain();

  Loop& loop_;
  lws_protocols protocols_[2];
  lws_vhost* vhost_ = nullptr;
  /// The descriptor whose `OnWritable` runs.
  WatchedDescriptor* writing_ = nullptr;
  /// Descriptors that asked for more from inside `OnWritable`.
  std::set<WatchedDescriptor*> again_;
};

}  // namespace buckthorncart
