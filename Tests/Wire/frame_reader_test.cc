#include "Wire/frame_reader.h"

#include <doctest/doctest.h>

namespace buckthorncart {
namespace {

TEST_CASE("frames: bytes in any pieces give the same frames") {
  const std::string stream =
      MakeFrame("first") + MakeFrame("") + MakeFrame("x");
  for (size_t piece = 1; piece <= stream.size(); ++piece) {
    FrameReader reader;
    std::vector<std::string> frames;
    for (size_t at = 0; at < stream.size(); at += piece) {
      reader.Append(std::string_view(stream).substr(at, piece));
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

TEST_CASE("frames: an oversized length is refused before its bytes arrive") {
  FrameReader reader;
  reader.Append("\xff\xff\xff\xff");
  const auto frame = reader.Next();
  REQUIRE(!frame);
  CHECK(frame.error().code == Errc::kFrameTooLarge);
}

}  // namespace
}  // namespace buckthorncart
