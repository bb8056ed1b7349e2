#include "Net/line_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace buckthorncart {
namespace {

/// A pipe that is writable takes so many bytes without blocking.
constexpr size_t kWriteBytes = 4'096;
constexpr size_t kMaxBytes = 256U << 10U;

bool IsWritable(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void LineBuffer::Add(std::string line) {
  if (line.size() >= kWriteBytes) line.resize(kWriteBytes - 1);
  line.push_back('\n');
  if (bytes_ + line.size() > kMaxBytes) {
    ++dropped_;
    return;
  }
  bytes_ += line.size();
  lines_.push_back(std::move(line));
}

void LineBuffer::Flush() {
  while (!lines_.empty() && IsWritable(fd_)) {
    std::string block;
    while (!lines_.empty() &&
           block.size() + lines_.front().size() <= kWriteBytes) {
      block += lines_.front();
      lines_.pop_front();
    }
    bytes_ -= block.size();
    // Lines are lost with the reader of the pipe; there is nobody to tell.
    if (write(fd_, block.data(), block.size()) < 0) ++dropped_;
  }
}

}  // namespace buckthorncart
