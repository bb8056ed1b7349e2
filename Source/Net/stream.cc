#include "Net/stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "Net/descriptor_watcher.h"

namespace buckthorncart {
namespace {

constexpr size_t kReadBytes = 65'536;
/// Maximum number of reads in one event, so that a busy connection does not
/// starve the others.
constexpr int kMaxReadsPerEvent = 16;
/// Largest body that is copied to the buffer, so that it is sent with its head.
constexpr size_t kMaxCopiedBytes = 65'536;
/// Capacity of an empty buffer above which its memory is released.
constexpr size_t kKeptCapacityBytes = 4'096;
/// Maximum time to wait for the peer to close its side of the connection.
constexpr int kLingerSeconds = 2;
/// A connection that is closing ends when the peer has not read anything for
/// this long.
constexpr int kUnreadSeconds = 15;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

Stream::Stream(DescriptorWatcher& watcher, int fd, bool open,
               ClosedHandler on_closed)
    : watcher_(watcher),
      fd_(fd),
      open_(open),
      on_closed_(std::move(on_closed)) {}

void Stream::Write(std::string_view bytes) {
  if (write_failed_ || closing_) return;
  BufferBody();
  write_buffer_.append(bytes);
  FlushOrRemove();
}

void Stream::Write(std::string_view head, const SharedBody& body) {
  if (write_failed_ || closing_) return;
  BufferBody();
  write_buffer_.append(head);
  body_ = body;
  body_rest_ = body_;
  if (body.size() <= kMaxCopiedBytes) BufferBody();
  FlushOrRemove();
}

void Stream::SetReceiveBuffer(size_t bytes) {
  // The system doubles the first value for its own records. The second one
  // limits the window and keeps what it was when the connection was accepted.
  const int half = static_cast<int>(bytes / 2);
  setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &half, sizeof(half));
  setsockopt(fd_, IPPROTO_TCP, TCP_WINDOW_CLAMP, &half, sizeof(half));
}

void Stream::BufferBody() {
  write_buffer_.append(body_rest_);
  body_rest_ = {};
  body_ = {};
}

void Stream::FlushOrRemove() {
  if (!open_) return;
  if (!Flush()) {
    watcher_.Remove(*this);
    return;
  }
  if (BufferedBytes() > 0) watcher_.RequestWritable(*this);
}

bool Stream::Flush() {
  const size_t buffered = write_buffer_.size() - write_offset_;
  const auto sent = SendBytes({write_buffer_.data() + write_offset_, buffered});
  if (!sent) return false;
  write_offset_ += *sent;
  if (write_offset_ == write_buffer_.size()) {
    if (write_buffer_.capacity() > kKeptCapacityBytes)
      write_buffer_ = std::string();
    write_buffer_.clear();
    write_offset_ = 0;
    const auto body_sent = SendBytes(body_rest_);
    if (!body_sent) return false;
    body_rest_.remove_prefix(*body_sent);
    if (body_rest_.empty()) body_ = {};
  } else if (write_offset_ >= write_buffer_.size() / 2) {
    write_buffer_ = std::string(write_buffer_, std::exchange(write_offset_, 0));
  }
  return true;
}

std::optional<size_t> Stream::SendBytes(std::string_view bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && WouldBlock()) break;
    if (n < 0) {
      write_failed_ = true;
      return std::nullopt;
    }
    sent += static_cast<size_t>(n);
  }
  return sent;
}

void Stream::SetReading(bool reading) {
  reading_ = reading;
  watcher_.SetReading(*this, reading);
}

void Stream::Close() {
  handler_ = nullptr;
  closing_ = true;
  if (!open_ || write_failed_) {
    watcher_.Remove(*this);
    return;
  }
  SetReading(true);
  if (BufferedBytes() == 0) {
    ShutDownWrite();
  } else {
    watcher_.RemoveAfter(*this, kUnreadSeconds);
  }
}

void Stream::Abort() {
  handler_ = nullptr;
  closing_ = true;
  aborted_ = true;
  write_buffer_ = std::string();
  write_offset_ = 0;
  body_rest_ = {};
  body_ = {};
  watcher_.Remove(*this);
}

/// Shuts down the sending side. Data that the peer still sends is read and
/// discarded, since closing a socket with unread data would reset the
/// connection before the peer has read the last bytes.
void Stream::ShutDownWrite() {
  if (std::exchange(write_shut_down_, true)) return;
  if (shutdown(fd_, SHUT_WR) == 0) {
    watcher_.RemoveAfter(*this, kLingerSeconds);
  } else {
    watcher_.Remove(*this);
  }
}

bool Stream::OnReadable() {
  if (aborted_) return false;
  std::array<char, kReadBytes> buf;
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
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
    if (static_cast<size_t>(n) < buf.size() || !reading_) return true;
  }
  return true;
}

bool Stream::OnWritable() {
  // The loop may find the connection established before it closes it.
  if (aborted_) return false;
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
  const bool progress = BufferedBytes() < before;
  if (progress && handler_ != nullptr) handler_->OnWritten();
  if (progress && closing_ && BufferedBytes() > 0)
    watcher_.RemoveAfter(*this, kUnreadSeconds);
  if (closing_ && BufferedBytes() == 0) ShutDownWrite();
  return true;
}

void Stream::OnClosed() {
  if (!open_) end_ = StreamEnd::kNotConnected;
  if (handler_ != nullptr) std::exchange(handler_, nullptr)->OnEnd(end_);
  on_closed_(*this);
}

}  // namespace buckthorncart
