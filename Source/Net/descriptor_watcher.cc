#include "Net/descriptor_watcher.h"

#include <utility>

namespace buckthorncart {

DescriptorWatcher::DescriptorWatcher(Loop& loop) : loop_(loop), protocols_{} {
  protocols_[0] = {"descriptor", Callback, 0, 0, 0, this, 0};
}

Result<void> DescriptorWatcher::Open(const std::string& name) {
  auto vhost = loop_.AddVhost(name, {}, protocols_, false);
  if (!vhost) return tl::unexpected(vhost.error());
  vhost_ = *vhost;
  return {};
}

bool DescriptorWatcher::Add(int fd, WatchedDescriptor& owner) {
  lws_sock_file_fd_type descriptor;
  descriptor.filefd = fd;
  // The library closes the descriptor when adopting it fails.
  lws* wsi = lws_adopt_descriptor_vhost(vhost_, LWS_ADOPT_RAW_FILE_DESC,
                                        descriptor, "descriptor", nullptr);
  if (wsi == nullptr) return false;
  lws_set_opaque_user_data(wsi, &owner);
  owner.wsi_ = wsi;
  return true;
}

void DescriptorWatcher::RequestWritable(WatchedDescriptor& owner) {
  if (owner.wsi_ == nullptr) return;
  if (writing_owner_ != &owner) {
    lws_callback_on_writable(owner.wsi_);
    return;
  }
  // The library discards write requests that are made inside its writable
  // callback, so that they are repeated from the loop.
  if (deferred_write_requests_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { RepeatWriteRequests(); });
  }
  deferred_write_requests_.insert(&owner);
}

void DescriptorWatcher::RepeatWriteRequests() {
  for (WatchedDescriptor* owner : std::exchange(deferred_write_requests_, {})) {
    RequestWritable(*owner);
  }
}

void DescriptorWatcher::SetReading(WatchedDescriptor& owner, bool reading) {
  if (owner.wsi_ != nullptr) lws_rx_flow_control(owner.wsi_, reading ? 1 : 0);
}

void DescriptorWatcher::Remove(WatchedDescriptor& owner) {
  if (owner.wsi_ == nullptr) return;
  lws_set_timeout(owner.wsi_, PENDING_TIMEOUT_USER_REASON_BASE,
                  LWS_TO_KILL_ASYNC);
}

void DescriptorWatcher::RemoveAfter(WatchedDescriptor& owner, int seconds) {
  if (owner.wsi_ == nullptr) return;
  lws_set_timeout(owner.wsi_, PENDING_TIMEOUT_USER_REASON_BASE, seconds);
}

int DescriptorWatcher::Callback(lws* wsi, lws_callback_reasons reason,
                                void* /*user*/, void* /*in*/, size_t /*len*/) {
  auto* owner = static_cast<WatchedDescriptor*>(lws_get_opaque_user_data(wsi));
  if (owner == nullptr) return 0;
  auto& watcher = *static_cast<DescriptorWatcher*>(lws_get_protocol(wsi)->user);
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      return owner->OnReadable() ? 0 : -1;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE: {
      watcher.writing_owner_ = owner;
      const bool open = owner->OnWritable();
      watcher.writing_owner_ = nullptr;
      return open ? 0 : -1;
    }
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      watcher.deferred_write_requests_.erase(owner);
      lws_set_opaque_user_data(wsi, nullptr);
      owner->wsi_ = nullptr;
      owner->OnClosed();
      return 0;
    default:
      return 0;
  }
}

}  // namespace buckthorncart
