#include "Net/line_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace buckthorncart {
namespace {

/// Number of bytes that a pipe which is reported as writable accepts without
/// blocking (`PIPE_BUF`).
constexpr size_t kMaxWriteBytes = 4'096;
constexpr size_t kMaxBufferedBytes = 256U << 10U;

bool IsWritable(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void LineBuffer::Add(std::string line) {
  if (line.size() >= kMaxWriteBytes) line.resize(kMaxWriteBytes - 1);
  line.push_back('\n');
  if (buffered_bytes_ + line.size() > kMaxBufferedBytes) {
    ++dropped_lines_;
    return;
  }
  buffered_bytes_ += line.size();
  lines_.push_back(std::move(line));
}

void LineBuffer::Flush() {
  while (!lines_.empty() && IsWritable(fd_)) {
    std::string block;
    while (!lines_.empty() &&
           block.size() + lines_.front().size() <= kMaxWriteBytes) {
      block += lines_.front();
      lines_.pop_front();
    }
    buffered_bytes_ -= block.size();
    // The reader of the pipe is gone: the lines are lost, and the failure
    // cannot be reported anywhere.
    if (write(fd_, block.data(), block.size()) < 0) ++dropped_lines_;
  }
}

}  // namespace buckthorncart
