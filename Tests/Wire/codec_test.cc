#include "Wire/codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Wire/peer_messages.h"

namespace buckthorncart {
namespace {

TEST_CASE("codec: every peer message survives a round trip") {
  Call call;
  call.id = 7;
  call.service = "catalogus";
  call.request = {"GET", "/proofs/1", {{"accept", "text/html"}}, "body"};
  const PeerMessage message = call;
  const auto decoded = Decode<PeerMessage>(Encode(message));
  REQUIRE(decoded);
  const auto* back = std::get_if<Call>(&*decoded);
  REQUIRE(back != nullptr);
  CHECK(back->request.body == "body");
}

TEST_CASE("codec: any bytes decode or fail with a typed error") {
  const bool held = rc::check([](const std::string& bytes) {
    const auto decoded = Decode<PeerMessage>(bytes);
    RC_ASSERT(decoded || decoded.error().code == Errc::kMalformedFrame);
  });
  CHECK(held);
}

TEST_CASE("codec: a cut or extended message is malformed") {
  const std::string whole = Encode(PeerMessage(VersionHeld{3}));
  CHECK(!Decode<PeerMessage>(whole.substr(0, whole.size() - 1)));
  CHECK(!Decode<PeerMessage>(whole + "x"));
}

TEST_CASE("codec: an unknown kind of message is malformed") {
  CHECK(!Decode<PeerMessage>(Encode(std::make_tuple(99, std::make_tuple(1)))));
}

}  // namespace
}  // namespace buckthorncart
