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
/// What a pipe and the buffer hold, with room for other sizes of pipes.
constexpr size_t kMostKept = 2U << 20U;

struct Pipe {
  Pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  /// Reads all that `buffer` still writes.
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

TEST_CASE("log: a reader that stops blocks nothing, and losses are counted") {
  Pipe pipe;
  LineBuffer buffer(pipe.ends[1]);
  const auto started = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < kLines; ++i) {
    buffer.Add("line " + std::to_string(i) + " of one hundred thousand");
    buffer.Flush();
  }
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(5));
  const uint64_t dropped = buffer.Dropped();
  CHECK(dropped > 0);
  const std::string text = pipe.ReadAll(buffer);
  CHECK(text.size() < kMostKept);
  // The first lines are kept whole and in order, as they tell how it began.
  uint64_t kept = 0;
  for (size_t at = 0; at < text.size(); ++kept) {
    const std::string line =
        "line " + std::to_string(kept) + " of one hundred thousand\n";
    REQUIRE(text.compare(at, line.size(), line) == 0);
    at += line.size();
  }
  CHECK(kept + dropped == kLines);
}

TEST_CASE("log: a reader that has gone does not end the process") {
  Pipe pipe;
  LineBuffer buffer(pipe.ends[1]);
  close(pipe.ends[0]);
  // The destructor closes both ends.
  pipe.ends[0] = dup(pipe.ends[1]);
  std::signal(SIGPIPE, SIG_IGN);
  for (uint64_t i = 0; i < kLines; ++i) {
    buffer.Add("line");
    buffer.Flush();
  }
  CHECK(buffer.Dropped() > 0);
}

}  // namespace
}  // namespace buckthorncart
