#pragma once
/// \file
/// Bounded output buffer of text lines for a file descriptor.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace buckthorncart {

/// Never blocks: lines that cannot be written yet are buffered up to a limit,
/// beyond which further lines are dropped and counted.
class LineBuffer {
 public:
  explicit LineBuffer(int fd) : fd_(fd) {}

  void Add(std::string line);
  /// Writes complete lines while the descriptor accepts them without blocking.
  void Flush();
  uint64_t DroppedLines() const { return dropped_lines_; }

 private:
  int fd_;
  std::deque<std::string> lines_;
  size_t buffered_bytes_ = 0;
  uint64_t dropped_lines_ = 0;
};

}  // namespace buckthorncart
