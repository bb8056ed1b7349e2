#include "Net/stream.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "Net/descriptor_watcher.h"

namespace buckthorncart {
namespace {

constexpr size_t kReadBytes = 65'536;
/// Reads of one event, after which other connections get their turn.
constexpr int kMaxReads = 16;
/// Written bytes are dropped from the front of the buffer in such pieces.
constexpr size_t kCompactBytes = 262'144;
/// Longest wait for the peer's own close.
constexpr int kLingerSeconds = 2;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

Stream::Stream(DescriptorWatcher& watcher, int fd, bool open,
               GoneHandler on_gone)
    : watcher_(watcher), fd_(fd), open_(open), on_gone_(std::move(on_gone)) {}

void Stream::Write(std::string_view bytes) {
  if (broken_ || closing_) return;
  out_.append(bytes);
  if (!open_) return;
  if (!Flush()) {
    watcher_.Remove(*this);
    return;
  }
  if (BufferedBytes() > 0) watcher_.RequestWritable(*this);
}

bool Stream::Flush() {
  while (BufferedBytes() > 0) {
    const ssize_t n =
        send(fd_, out_.data() + out_offset_, BufferedBytes(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && WouldBlock()) break;
    if (n < 0) {
      broken_ = true;
      return false;
    }
    out_offset_ += static_cast<size_t>(n);
  }
  if (BufferedBytes() == 0) {
    out_.clear();
    out_offset_ = 0;
  } else if (out_offset_ >= kCompactBytes) {
    out_.erase(0, std::exchange(out_offset_, 0));
  }
  return true;
}

void Stream::SetReading(bool reading) { watcher_.SetReading(*this, reading); }

void Stream::Close() {
  handler_ = nullptr;
  closing_ = true;
  if (!open_ || broken_) {
    watcher_.Remove(*this);
    return;
  }
  watcher_.SetReading(*this, true);
  if (BufferedBytes() == 0) FinishWriting();
}

void Stream::Abort() {
  handler_ = nullptr;
  closing_ = true;
  watcher_.Remove(*this);
}

/// Tells the peer that no more comes. What it still sends is read and dropped,
/// since a close with unread bytes would reset the connection before the peer
/// has read the last ones.
void Stream::FinishWriting() {
  if (std::exchange(finished_writing_, true)) return;
  if (shutdown(fd_, SHUT_WR) == 0) {
    watcher_.RemoveIn(*this, kLingerSeconds);
  } else {
    watcher_.Remove(*this);
  }
}

bool Stream::OnReadable() {
  std::array<char, kReadBytes> buf;
  for (int i = 0; i < kMaxReads; ++i) {
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && WouldBlock()) return true;
    if (n <= 0) {
      if (n == 0) end_ = StreamEnd::kFinished;
      return false;
    }
    if (handler_ != nullptr) {
      handler_->OnBytes({buf.data(), static_cast<size_t>(n)});
    }
    if (static_cast<size_t>(n) < buf.size()) return true;
  }
  return true;
}

bool Stream::OnWritable() {
  if (!open_) {
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return false;
    if (error != 0) return false;
    open_ = true;
    if (handler_ != nullptr) handler_->OnOpen();
  }
  const size_t before = BufferedBytes();
  if (!Flush()) return false;
  if (BufferedBytes() > 0) watcher_.RequestWritable(*this);
  if (BufferedBytes() < before && handler_ != nullptr) handler_->OnWritten();
  if (closing_ && BufferedBytes() == 0) FinishWriting();
  return true;
}

void Stream::OnClosed() {
  if (!open_) end_ = StreamEnd::kNotConnected;
  if (handler_ != nullptr) std::exchange(handler_, nullptr)->OnEnd(end_);
  on_gone_(*this);
}

}  // namespace buckthorncart
