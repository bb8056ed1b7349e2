#include "Net/line_buffer.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>

namespace buckthorncart {
namespace {

constexpr uint64_t kLines = 100'000;
/// Upper limit of the bytes that the pipe and the buffer hold, with a margin
/// for pipes of other sizes.
constexpr size_t kMaxKeptBytes = 2U << 20U;

struct Pipe {
  Pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  /// Flushes `buffer` and reads all of its remaining output.
  std::string ReadAll(LineBuffer& buffer) {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65'536> block{};
    for (;;) {
      buffer.Flush();
      const ssize_t n = read(ends[0], block.data(), block.size());
      if (n <= 0) return text;
      text.append(block.data(), static_cast<size_t>(n));
    }
  }
  std::array<int, 2> ends{};
};

TEST_CASE("log: a stalled reader does not block, and losses are counted") {
  Pipe pipe;
  LineBuffer buffer(pipe.ends[1]);
  const auto started = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < kLines; ++i) {
    buffer.Add("line " + std::to_string(i) + " of one hundred thousand");
    buffer.Flush();
  }
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(5));
  const uint64_t dropped = buffer.DroppedLines();
  CHECK(dropped > 0);
  const std::string text = pipe.ReadAll(buffer);
  CHECK(text.size() < kMaxKeptBytes);
  // The first lines must be complete and in order, since they show how a fault
  // began.
  uint64_t kept = 0;
  for (size_t offset = 0; offset < text.size(); ++kept) {
    const std::string line =
        "line " + std::to_string(kept) + " of one hundred thousand\n";
    REQUIRE(text.compare(offset, line.size(), line) == 0);
    offset += line.size();
  }
  CHECK(kept + dropped == kLines);
}

TEST_CASE("log: a closed pipe does not end the process") {
  Pipe pipe;
  LineBuffer buffer(pipe.ends[1]);
  close(pipe.ends[0]);
  // Replaces the closed descriptor, since the destructor closes both ends.
  pipe.ends[0] = dup(pipe.ends[1]);
  std::signal(SIGPIPE, SIG_IGN);
  for (uint64_t i = 0; i < kLines; ++i) {
    buffer.Add("line");
    buffer.Flush();
  }
  CHECK(buffer.DroppedLines() > 0);
}

}  // namespace
}  // namespace buckthorncart
