#pragma once
/// \file
/// Lines that wait to be written to a descriptor.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace buckthorncart {

/// Bounded, and never blocks: lines that the descriptor does not take are kept
/// up to a limit, then dropped and counted.
class LineBuffer {
 public:
  explicit LineBuffer(int fd) : fd_(fd) {}

  void Add(std::string line);
  /// Writes whole lines while the descriptor takes them.
  void Flush();
  uint64_t Dropped() const { return dropped_; }

 private:
  int fd_;
  std::deque<std::string> lines_;
  size_t bytes_ = 0;
  uint64_t dropped_ = 0;
};

}  // namespace buckthorncart
