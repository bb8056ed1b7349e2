#include "Wire/frame_reader.h"

#include <doctest/doctest.h>

namespace buckthorncart {
namespace {

TEST_CASE(
    "frames: a stream split into pieces of any size gives the same frames") {
  const std::string stream =
      MakeFrame("first") + MakeFrame("") + MakeFrame("x");
  for (size_t piece_size = 1; piece_size <= stream.size(); ++piece_size) {
    FrameReader reader;
    std::vector<std::string> frames;
    for (size_t offset = 0; offset < stream.size(); offset += piece_size) {
      reader.Append(std::string_view(stream).substr(offset, piece_size));
      while (true) {
        const auto frame = reader.Next();
        REQUIRE(frame);
        if (!*frame) break;
        frames.push_back(**frame);
      }
    }
    CHECK(frames == std::vector<std::string>{"first", "", "x"});
  }
}

TEST_CASE(
    "frames: a length above the limit is rejected before the payload arrives") {
  FrameReader reader;
  reader.Append("\xff\xff\xff\xff");
  const auto frame = reader.Next();
  REQUIRE(!frame);
  CHECK(frame.error().code == Errc::kFrameTooLarge);
}

}  // namespace
}  // namespace buckthorncart
